"""Stand-in of the platform's store: rows, conditions and the feed of changes, over HTTP."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

import http1

MAX_WAIT_S = 30.0


class Store:
    """Keeps rows in memory; each transaction gets the next version."""

    def __init__(self, *, host: str, port: int):
        self.address = f"{host}:{port}"
        self._host = host
        self._port = port
        self._version = 0
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Ends all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, table: str, key: str, document: dict | None) -> None:
        """Writes a row as another writer does; None removes it."""
        self._version += 1
        value = None
        if document is not None:
            value = base64.b64encode(json.dumps(document).encode()).decode()
        self._set(table, "", key, value)
        self._wake()

    def _set(self, table: str, part: str, key: str, value: str | None) -> None:
        row = {"Table": table, "part": part, "Key": key, "Ver": self._version}
        if value is None:
            self._rows.pop((table, part, key), None)
            self._history.append({**row, "Deleted": True})
            return
        self._rows[table, part, key] = (value, self._version)
        self._history.append({**row, "Value": value})

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (request := await http1.read(reader)) is not None:
                status, document = await self._answer(request)
                document |= {"Ver": self._version, "Now": f"{int(time.monotonic() * 1000)}ms"}
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(http1.encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request: http1.Message) -> tuple[int, dict]:
        path, _, query = request.start[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/rows-tx":
            return self._transact(json.loads(request.body))
        if path == "/api/rows-get":
            return 200, self._get(values)
        if path == "/api/rows-feed":
            return 200, await self._feed(values)
        return 404, {}

    def _transact(self, call: dict) -> tuple[int, dict]:
        for row in call.get("Precondition", []):
            place = (row["Table"], row["part"], row["Key"])
            if self._rows.get(place, ("", 0))[1] != row["Ver"]:
                return 412, {"Rows": []}
        writes = [*call.get("Put", []), *call.get("Remove", [])]
        if any(row["Table"] in ("op", "servers") for row in writes):
            return 403, {}
        self._version += 1
        for row in writes:
            self._set(row["Table"], row["part"], row["Key"], row.get("Value"))
        self._wake()
        return 200, {}

    def _get(self, values: dict[str, str]) -> dict:
        first = values.get("From", "")
        rows = [
            {"Table": table, "part": part, "Key": key, "Value": value, "Ver": version}
            for (table, part, key), (value, version) in sorted(self._rows.items())
            if table == values["Table"] and part == values["part"] and key >= first
        ]
        limit = int(values.get("Limit", "500"))
        return {"Rows": rows[:limit], "HasMore": len(rows) > limit}

    async def _feed(self, values: dict[str, str]) -> dict:
        after = int(values["after"])
        deadline_s = time.monotonic() + min(MAX_WAIT_S, int(values["WaitMs"]) / 1000.0)
        while True:
            rows = [
                row
                for row in self._history
                if row["Ver"] > after and row["Table"] == values["Table"]
            ]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return {"Rows": rows}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
