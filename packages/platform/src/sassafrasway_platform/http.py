"""HTTP adapters for the table service, the object store and the instance list.

Versions are sent as strong entity tags (RFC 9110). A write has ``If-Match`` with the expected
version, or ``If-None-Match: *`` for a row that must not exist; status 412 means that the condition
does not hold. A read has ``If-None-Match`` with a known version; status 304 means that the row is
unchanged. In JSON bodies a row is ``{"key", "value_base64", "version"}``, and lists of rows are
``{"rows": [...]}``. A transaction is ``{"writes": [{"key", "value_base64", "if_version"}, ...]}``,
where ``"if_version": null`` means that the row must not exist.
"""

import base64
import binascii
import json
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import yarl

from sassafrasway_core import errors
from sassafrasway_platform import instances, objects, table

DEFAULT_TIMEOUT_S = 2.0


class HttpClient:
    """Sends requests to one platform service.

    Args:
        base_url: ``http://host:port`` of the service.
        session: aiohttp session; the owner closes it.
        timeout_s: Limit of each call in seconds, connection included.
    """

    def __init__(
        self,
        *,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ):
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._timeout_s = timeout_s

    @property
    def peer(self) -> str:
        """The ``host:port`` of the service."""
        return yarl.URL(self._base_url).authority

    async def request(
        self,
        method: str,
        path: str,
        *,
        step: str,
        accept: Sequence[int],
        headers: Mapping[str, str] | None = None,
        data: bytes | None = None,
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Sends one request and returns status, headers and body of the complete response.

        Args:
            method: HTTP method.
            path: Encoded path and query.
            step: Value of ``step`` in the errors that are raised.
            accept: Statuses that are returned; others raise an error.
            headers: Request headers.
            data: Request body.

        Raises:
            table.PreconditionFailed: Status 412.
            errors.ValidationError: Status 400, 404, 405, 413, 414 or 431: the service rejected the
                request as invalid.
            table.StoreUnavailable: No complete response, or another status; the effect is unknown.
        """
        url = yarl.URL(self._base_url + path, encoded=True)
        try:
            async with self._session.request(
                method, url, headers=headers, data=data, timeout=self._timeout
            ) as response:
                body = await response.read()
                status = response.status
        except TimeoutError:
            raise self._unavailable(f"no answer within {self._timeout_s:.3f} s", step) from None
        except (aiohttp.ClientError, OSError) as error:
            raise self._unavailable(f"{type(error).__name__}: {error}", step) from error
        if status in accept:
            return status, response.headers, body
        if status == 412:
            raise table.PreconditionFailed(
                "row does not have the expected version", step=step, peer=self.peer
            )
        if status in (400, 404, 405, 413, 414, 431):
            text = body[:200].decode(errors="replace")
            raise errors.ValidationError(
                f"request rejected with HTTP status {status}: {text}", step=step, peer=self.peer
            )
        raise self._unavailable(f"unexpected HTTP status {status}", step)

    def _unavailable(self, message: str, step: str) -> table.StoreUnavailable:
        return table.StoreUnavailable(message, step=step, peer=self.peer)


class HttpTableService(table.TableService):
    """Table service over HTTP."""

    def __init__(self, *, client: HttpClient):
        self._client = client

    async def get(self, key: str, *, known: table.Row | None = None) -> table.Row | None:
        """See base class."""
        step = "table.get"
        headers = {} if known is None else {"If-None-Match": _entity_tag(known.version)}
        status, response_headers, body = await self._client.request(
            "GET", _row_path(key), step=step, accept=(200, 304, 404), headers=headers
        )
        if status == 404:
            return None
        if status == 304 and known is not None:
            return known
        return table.Row(key=key, value=body, version=self._version(response_headers, step))

    async def put(self, key: str, value: bytes, *, if_version: str | table.Absent) -> table.Row:
        """See base class."""
        step = "table.put"
        if if_version is table.ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": _entity_tag(if_version)}
        _, response_headers, _ = await self._client.request(
            "PUT", _row_path(key), step=step, accept=(200, 201, 204), headers=headers, data=value
        )
        return table.Row(key=key, value=value, version=self._version(response_headers, step))

    async def transact(self, writes: Sequence[table.Write]) -> list[table.Row]:
        """See base class."""
        document = {"writes": [_encode_write(write) for write in writes]}
        _, _, body = await self._client.request(
            "POST",
            "/table-transactions",
            step="table.transact",
            accept=(200,),
            headers={"Content-Type": "application/json"},
            data=json.dumps(document).encode(),
        )
        return self._rows(body, "table.transact")

    async def scan(self, prefix: str) -> list[table.Row]:
        """See base class."""
        path = "/table?prefix=" + urllib.parse.quote(prefix, safe="")
        _, _, body = await self._client.request("GET", path, step="table.scan", accept=(200,))
        return self._rows(body, "table.scan")

    def _version(self, headers: Mapping[str, str], step: str) -> str:
        tag = headers.get("ETag", "")
        if len(tag) > 2 and tag.startswith('"') and tag.endswith('"'):
            return tag[1:-1]
        raise table.StoreUnavailable(
            f"response has no valid strong ETag: {tag!r}", step=step, peer=self._client.peer
        )

    def _rows(self, body: bytes, step: str) -> list[table.Row]:
        try:
            return [_parse_row(document) for document in json.loads(body)["rows"]]
        except (ValueError, KeyError, TypeError, binascii.Error) as error:
            raise table.StoreUnavailable(
                f"malformed response: {error!r}", step=step, peer=self._client.peer
            ) from error


class HttpObjectStore(objects.ObjectStore):
    """Object store over HTTP."""

    def __init__(self, *, client: HttpClient):
        self._client = client

    async def get(self, name: str) -> bytes | None:
        """See base class."""
        status, _, body = await self._client.request(
            "GET", _object_path(name), step="objects.get", accept=(200, 404)
        )
        return body if status == 200 else None

    async def put(self, name: str, data: bytes) -> None:
        """See base class."""
        await self._client.request(
            "PUT", _object_path(name), step="objects.put", accept=(200, 201, 204), data=data
        )


class HttpInstanceList(instances.InstanceList):
    """Instance list over HTTP."""

    def __init__(self, *, client: HttpClient):
        self._client = client

    async def fetch(self) -> list[instances.ListedInstance]:
        """See base class."""
        step = "instances.fetch"
        _, _, body = await self._client.request("GET", "/instances", step=step, accept=(200,))
        try:
            return [_parse_instance(document) for document in json.loads(body)]
        except (ValueError, KeyError, TypeError) as error:
            raise table.StoreUnavailable(
                f"malformed response: {error!r}", step=step, peer=self._client.peer
            ) from error


def _row_path(key: str) -> str:
    table.check_key(key)
    return "/table/" + urllib.parse.quote(key, safe="/")


def _object_path(name: str) -> str:
    return "/objects/" + urllib.parse.quote(name, safe="")


def _entity_tag(version: str) -> str:
    return f'"{version}"'


def _encode_write(write: table.Write) -> dict[str, Any]:
    return {
        "key": write.key,
        "value_base64": base64.b64encode(write.value).decode(),
        "if_version": None if write.if_version is table.ABSENT else write.if_version,
    }


def _parse_row(document: Mapping[str, Any]) -> table.Row:
    return table.Row(
        key=document["key"],
        value=base64.b64decode(document["value_base64"], validate=True),
        version=document["version"],
    )


def _parse_instance(document: Mapping[str, Any]) -> instances.ListedInstance:
    return instances.ListedInstance(
        name=document["name"],
        address=document["address"],
        failure_domain=document["failure_domain"],
        state=instances.ListedState(document["state"]),
    )
