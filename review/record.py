"""Record of a run: what was sent, answered and run, with the time since the start."""

import pathlib
import time
import typing


class Record:
    """Writes one line an event."""

    def __init__(self, *, path: pathlib.Path):
        self._file: typing.TextIO = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Writes an event with its fields."""
        at_s = time.monotonic() - self._started_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:8.3f} {event} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes a line of the verdict, and prints it."""
        print(text, flush=True)
        self.add("verdict", text=repr(text))
