"""Child processes of tests, demo and benchmarks, which are killed when their parent ends."""

import asyncio
import contextlib
import ctypes
import functools
import os
import pathlib
import signal
import sys
from collections.abc import Sequence
from typing import IO

PR_SET_PDEATHSIG = 1  # value in <linux/prctl.h>
_LIBC = ctypes.CDLL(None, use_errno=True)


class ProcessError(Exception):
    """A child process failed, was not started, or did not become ready or end in time."""


class ChildProcess:
    """One child process; its output is appended to the file ``log``.

    ``pid``, ``exit_code`` and ``wait`` raise ``ProcessError`` if the process was not started.
    """

    def __init__(self, *, name: str, command: Sequence[str], log: pathlib.Path):
        self._name = name
        self._command = list(command)
        self._log = log
        self._process: asyncio.subprocess.Process | None = None
        self._log_file: IO[bytes] | None = None

    @property
    def name(self) -> str:
        """Name of the process in error messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Process ID."""
        return self._started_process().pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, or the negated number of the signal that ended it; None while it runs."""
        return self._started_process().returncode

    async def start(self) -> None:
        """Starts the process.

        Raises:
            OSError: The log file cannot be opened or the program cannot be run.
        """
        self._log_file = self._log.open("ab")
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self._log_file,
            stderr=self._log_file,
            preexec_fn=functools.partial(_kill_with_parent, os.getpid()),
        )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal; does nothing if the process is not running."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    async def wait(self, *, timeout_s: float) -> int:
        """Waits until the process ends and returns its exit code.

        Raises:
            ProcessError: The process has not ended within ``timeout_s``.
        """
        try:
            code = await asyncio.wait_for(self._started_process().wait(), timeout_s)
        except TimeoutError:
            raise ProcessError(f"{self._name} did not end within {timeout_s:.1f} s") from None
        self._close_log()
        return code

    async def kill(self) -> None:
        """Kills the process (SIGKILL) and waits until it has ended."""
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self._process.wait()
        self._close_log()

    def tail(self, lines: int = 20) -> str:
        """Returns the last lines of the log file."""
        if not self._log.exists():
            return ""
        text = self._log.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _started_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self._name} was not started")
        return self._process

    def _close_log(self) -> None:
        if self._log_file is not None:
            self._log_file.close()
            self._log_file = None


def script(name: str) -> list[str]:
    """Returns the command line that runs one of the console scripts of the project.

    Raises:
        KeyError: The project has no console script with this name.
    """
    module, _, attribute = _SCRIPTS[name].partition(":")
    code = f"import sys; from {module} import {attribute}; sys.argv[0] = {name!r}; {attribute}()"
    return [sys.executable, "-c", code]


# Functions of the console scripts. They are imported instead of running the installed script files,
# so that PYTHONPATH takes precedence over the installed packages.
_SCRIPTS = {
    "sassafrasway": "sassafrasway_entry.main:cli",
    "sassafrasctl": "sassafrasway_ctl.main:cli",
    "sassafrasway-standins": "sassafrasway_standins.main:cli",
}


def _kill_with_parent(parent_pid: int) -> None:
    """Makes the kernel kill this process when its parent ends for any reason.

    The kernel regards the thread that started this process as its parent.
    """
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent_pid:  # the parent ended before prctl took effect
        os._exit(1)
