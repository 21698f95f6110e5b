"""Options that are shared by several commands."""

import dataclasses
import functools
import getpass
import os
import uuid
from collections.abc import Callable
from typing import Any

import click

from sassafrasway_ctl import client
from sassafrasway_rpc import schema

ADDRESS_VARIABLE = "SASSAFRASCTL_ADDRESS"
AUTHOR_VARIABLE = "SASSAFRASCTL_AUTHOR"
MAX_PORT = 65535
MAX_REVISION = 2**63 - 1  # revisions are Thrift i64 values


def parse_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        click.UsageError: The address is not ``HOST:PORT``.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise click.UsageError(f"address {address!r} is not HOST:PORT")
    return host, int(port)


@dataclasses.dataclass(slots=True, kw_only=True)
class Options:
    """Values of the options that ``shared`` adds.

    Attributes:
        addresses: ``host:port`` of instances in order of preference; empty to use the environment.
        timeout_s: Timeout of each attempt in seconds.
        as_json: Whether to print JSON.
    """

    addresses: tuple[str, ...] = ()
    timeout_s: float = client.DEFAULT_TIMEOUT_S
    as_json: bool = False

    def client(self) -> client.OperatorClient:
        """Returns a client for the given addresses, or for those in the environment.

        Raises:
            click.UsageError: No address is given, or one is malformed.
        """
        addresses = self.addresses or tuple(os.environ.get(ADDRESS_VARIABLE, "").split())
        if not addresses:
            raise click.UsageError(f"no instance given: use --address or set {ADDRESS_VARIABLE}")
        for address in addresses:
            parse_address(address)
        return client.OperatorClient(addresses=addresses, timeout_s=self.timeout_s)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeOptions:
    """Values of the options of commands that change the policy.

    Attributes:
        change_id: Id under which the change is applied only once.
        author: Author recorded with the change.
        base_revision: Revision that must be current; None to accept any.
    """

    change_id: str
    author: str
    base_revision: int | None

    def meta(self) -> Any:
        """Returns the values as a Thrift ``ChangeMeta``."""
        return schema.config.ChangeMeta(
            change_id=self.change_id, author=self.author, base_revision=self.base_revision
        )


def shared(command: Callable) -> Callable:
    """Adds the shared options, which are accepted before and after the name of the command.

    Their values are stored in the ``Options`` of the context. A value after the name of the command
    replaces one before it.
    """
    add_address = click.option(
        "--address",
        "addresses",
        multiple=True,
        metavar="HOST:PORT",
        expose_value=False,
        callback=_store_value,
        help="RPC address of an entry instance; repeat the option for instances to try next."
        f" [env: {ADDRESS_VARIABLE}, separated by spaces]",
    )
    return add_address(shared_without_address(command))


def shared_without_address(command: Callable) -> Callable:
    """Adds the shared options of a command that uses no RPC address; see ``shared``."""
    add_json = click.option(
        "--json",
        "as_json",
        is_flag=True,
        default=None,
        expose_value=False,
        callback=_store_value,
        help="Print JSON.",
    )
    add_timeout = click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=0, min_open=True),
        metavar="SECONDS",
        expose_value=False,
        callback=_store_value,
        help=f"Timeout of each attempt. [default: {client.DEFAULT_TIMEOUT_S:g}]",
    )
    return add_timeout(add_json(command))


def change(command: Callable) -> Callable:
    """Adds the options of a change; the command receives them as ``change``."""
    add_base = click.option(
        "--base-revision",
        type=click.IntRange(0, MAX_REVISION),
        help="Fail with a conflict unless this revision is current.",
    )
    add_author = click.option(
        "--author",
        default=_default_author,
        help=f"Author recorded with the change. [env: {AUTHOR_VARIABLE}; default: login name]",
        envvar=AUTHOR_VARIABLE,
    )
    add_id = click.option(
        "--change-id",
        help="Id of the change; repeat the id of an earlier attempt to apply the change only once."
        " [default: random]",
    )

    @functools.wraps(command)
    def wrapped(*, change_id: str | None, author: str, base_revision: int | None, **arguments):
        values = ChangeOptions(
            change_id=change_id or str(uuid.uuid4()), author=author, base_revision=base_revision
        )
        return command(change=values, **arguments)

    return add_id(add_author(add_base(wrapped)))


def _default_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _store_value(context: click.Context, parameter: click.Parameter, value: Any) -> None:
    options = context.ensure_object(Options)
    # None or () means that the option is not given here; it may be given before the command's name.
    if value not in (None, ()):
        setattr(options, parameter.name, value)
