"""Structured logging with a rate limit and without blocking writes."""

import os
import time

import msgspec
import structlog

from sassafrasway_gateway import metrics as metrics_lib

MAX_LINES_PER_S = 300
MAX_BUFFERED_BYTES = 64 * 1024


class BoundedWriter:
    """Writes lines to a file descriptor, which it makes non-blocking.

    Lines are dropped and counted when they exceed the rate limit or when the reader is too slow.
    The number of dropped lines is written before the next line.
    """

    def __init__(self, *, descriptor: int, metrics: metrics_lib.GatewayMetrics):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._metrics = metrics
        self._pending = b""
        # Whole second of the monotonic clock to which the rate limit currently applies, and the
        # number of lines in it.
        self._second = 0
        self._lines = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last line that was written."""
        return self._dropped

    def write_line(self, line: bytes) -> None:
        """Appends a line feed to a line and writes it, or drops it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S or len(self._pending) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            self._metrics.log_lines_dropped.add()
            self._flush()
            return
        if self._dropped:
            self._pending += b'{"event":"log lines dropped","count":%d}\n' % self._dropped
            self._dropped = 0
        self._pending += line + b"\n"
        self._flush()

    def _flush(self) -> None:
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed its end, so the error cannot be logged either.
            self._pending = b""
            return
        self._pending = self._pending[written:]


class _LineLogger:
    """Passes rendered events to the writer; has a method for each log level of structlog."""

    def __init__(self, writer: BoundedWriter, name: str = ""):
        self._writer = writer
        self.name = name

    def msg(self, line: bytes) -> None:
        """Writes one event."""
        self._writer.write_line(line)

    debug = info = warning = error = critical = exception = msg


def configure(writer: BoundedWriter, *, instance: str, level: int = 20) -> None:
    """Configures structlog to write events as JSON lines.

    Each event contains the name of the instance. ``level`` is the lowest level that is logged, as a
    number of the `logging` module.
    """
    encoder = msgspec.json.Encoder(enc_hook=str)

    def add_context(logger, method, event):
        event["time"] = round(time.time(), 3)
        event["level"] = method
        event["logger"] = logger.name
        event["instance"] = instance
        return event

    structlog.configure(
        processors=[add_context, lambda logger, method, event: encoder.encode(event)],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *args: _LineLogger(writer, *args),
        cache_logger_on_first_use=True,
    )
