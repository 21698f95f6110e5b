"""Settings of an entry instance, which are read from a TOML file and validated."""

import ipaddress
import pathlib
import re
import tomllib
from typing import Annotated, Literal

import pydantic

from sassafrasway_core import errors

_NAME_PATTERN = r"^[A-Za-z0-9_-]{1,64}$"


def _check_address(value: str) -> str:
    match = re.fullmatch(r"(?P<host>[^:]+|\[[0-9a-fA-F:]+\]):(?P<port>\d{1,5})", value)
    if match is None:
        raise ValueError("expected an IP address and a port, as in 10.0.0.1:8080")
    try:
        ipaddress.ip_address(match["host"].strip("[]"))
    except ValueError:
        raise ValueError("expected an IP address, not a host name") from None
    if not 0 < int(match["port"]) < 65536:
        raise ValueError("expected a port between 1 and 65535")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class InstanceSection(_Section):
    """Identity and location of this instance."""

    name: str = pydantic.Field(pattern=_NAME_PATTERN, description="instance name")
    region: str = pydantic.Field(pattern=_NAME_PATTERN, description="region name")
    failure_domain: str = pydantic.Field(pattern=_NAME_PATTERN, description="failure domain name")


class ListenSection(_Section):
    """Addresses to listen on."""

    caller: Address = pydantic.Field(description="IP address and port for callers")
    rpc: Address = pydantic.Field(description="IP address and port for operators and peers")
    admin: Address = pydantic.Field(description="IP address and port for metrics and dumps")


class PlatformSection(_Section):
    """Access to the platform's table service, object store and instance list."""

    url: str = pydantic.Field(pattern=r"^https?://", description="base URL")
    timeout_ms: int = pydantic.Field(default=1000, ge=1, le=60000, description="milliseconds")


class NetworkSection(_Section):
    """Addresses of other entry instances."""

    seeds: tuple[Address, ...] = pydantic.Field(
        default=(), description="RPC addresses of instances to join through"
    )
    address_map: dict[Address, Address] = pydantic.Field(
        default_factory=dict, description="address to use in place of an advertised one"
    )


class LoggingSection(_Section):
    """Format and minimum level of log lines."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class TelemetrySection(_Section):
    """Export of metrics, in addition to ``/metrics``."""

    otlp_endpoint: str | None = pydantic.Field(
        default=None, pattern=r"^https?://", description="URL of an OTLP/HTTP collector"
    )
    export_interval_s: float = pydantic.Field(default=15.0, ge=1, description="seconds")


class LimitsSection(_Section):
    """Limits on requests, queues and cached lookups."""

    max_body_bytes: int = pydantic.Field(default=8 * 1024 * 1024, ge=1, description="bytes")
    max_header_bytes: int = pydantic.Field(default=16 * 1024, ge=256, description="bytes")
    queue_limit: int = pydantic.Field(default=1000, ge=0, description="requests for each pool")
    lookup_ttl_s: float = pydantic.Field(default=5.0, gt=0, le=60, description="seconds")


class BehaviourSection(_Section):
    """Options that change how requests are handled.

    Attributes:
        invariants: Whether a violated invariant raises an error; it is counted and logged in any
            case.
        placement: Name of the strategy that decides which instance may use which slots of a pool's
            servers; see ``sassafrasway_core.placement``.
    """

    invariants: Literal["raise", "count"] = "count"
    placement: Literal["pool_owner", "even_split", "local_count"] = "pool_owner"
    record_file: pathlib.Path | None = pydantic.Field(
        default=None, description="file for a record of dispatches and answers, JSON lines"
    )


class Settings(_Section):
    """All settings of an entry instance."""

    instance: InstanceSection
    listen: ListenSection
    platform: PlatformSection
    network: NetworkSection = NetworkSection()
    logging: LoggingSection = LoggingSection()
    telemetry: TelemetrySection = TelemetrySection()
    limits: LimitsSection = LimitsSection()
    behaviour: BehaviourSection = BehaviourSection()


def load(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.ValidationError: The file cannot be read, is not TOML or has invalid settings. The
            message has one line per problem, with the file, the key and what is expected.
    """
    step = "settings.load"
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.ValidationError(f"{path}: {error.strerror}", step=step, peer="") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.ValidationError(f"{path}: not TOML: {error}", step=step, peer="") from error
    try:
        return Settings.model_validate(data)
    except pydantic.ValidationError as error:
        lines = [_format_problem(path, problem) for problem in error.errors()]
        raise errors.ValidationError("\n".join(lines), step=step, peer="") from None


def _format_problem(path: pathlib.Path, problem: dict) -> str:
    key = ".".join(str(part) for part in problem["loc"])
    description = _expected_value(problem["loc"])
    expected = f" (expected: {description})" if description else ""
    return f"{path}: {key}: {problem['msg']}{expected}"


def _expected_value(location: tuple) -> str:
    """Returns the description of the innermost field on the path to a value, or an empty string."""
    model: type[pydantic.BaseModel] = Settings
    description = ""
    for part in location:
        fields = getattr(model, "model_fields", {})
        if part not in fields:
            return description
        field = fields[part]
        description = field.description or ""
        model = field.annotation
    return description
