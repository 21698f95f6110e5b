"""Optional event log of an instance, by which its behaviour is checked after a run."""

import json
import pathlib
import time
from typing import IO, Any


class Recorder:
    """Appends events as JSON lines to a file; does nothing without a file.

    Every event has ``kind``, ``instance`` (name and incarnation) and ``t``, the monotonic time in
    seconds, by which events of all processes of one machine can be ordered.

    Raises:
        OSError: The file cannot be opened.
    """

    def __init__(self, *, path: pathlib.Path | None, instance: str):
        self._instance = instance
        self._file: IO[str] | None = None
        if path is not None:
            self._file = path.open("a", encoding="utf-8", buffering=1)

    def record(self, kind: str, **fields: Any) -> None:
        """Writes one event."""
        if self._file is None:
            return
        event = {"t": time.monotonic(), "kind": kind, "instance": self._instance, **fields}
        self._file.write(json.dumps(event, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
