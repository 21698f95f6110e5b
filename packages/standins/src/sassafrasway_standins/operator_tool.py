"""Runs ``sassafrasctl`` as an operator would, and records the accepted policies."""

import asyncio
import json
from typing import Any

from sassafrasway_standins import launcher, processes

COMMAND_TIMEOUT_S = 20.0


class Operator:
    """Runs ``sassafrasctl`` against an entry instance of a running cluster.

    All methods raise ``processes.ProcessError`` if the command fails or times out; for a failure
    the message has its output.
    """

    def __init__(self, *, cluster: launcher.Cluster):
        self._cluster = cluster
        self._document: dict[str, Any] = {}

    async def apply(self, document: dict[str, Any]) -> None:
        """Applies a whole policy document."""
        path = self._cluster.directory / "settings" / "policy.json"
        path.write_text(json.dumps(document, indent=2), encoding="utf-8")
        await self.run("apply", str(path))
        self._record_accepted(document)

    async def start_shift(self, name: str, **fields: Any) -> None:
        """Starts a shift; ``apply`` must have been called before.

        ``fields`` are the fields of the shift in the policy document.
        """
        options = [f"--{key.replace('_', '-')}={value}" for key, value in fields.items()]
        await self.run("shift", "start", name, *options)
        shifts = self._document["shifts"] | {name: {"fraction": 1.0} | fields}
        self._record_accepted(self._document | {"shifts": shifts})

    async def stop_shift(self, name: str) -> None:
        """Stops a shift; ``apply`` must have been called before."""
        await self.run("shift", "stop", name)
        shifts = {key: value for key, value in self._document["shifts"].items() if key != name}
        self._record_accepted(self._document | {"shifts": shifts})

    async def run(self, *arguments: str) -> str:
        """Runs a subcommand and returns its output."""
        name = self._cluster.entry_names[0]
        address = self._cluster.site.instances[name].rpc
        command = [*processes.script("sassafrasctl"), "--address", address, *arguments]
        child = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        try:
            output, _ = await asyncio.wait_for(child.communicate(), COMMAND_TIMEOUT_S)
        except TimeoutError:
            child.kill()
            await child.wait()
            raise processes.ProcessError(
                f"sassafrasctl {arguments[0]} did not end within {COMMAND_TIMEOUT_S:g} s"
            ) from None
        text = output.decode(errors="replace")
        if child.returncode != 0:
            raise processes.ProcessError(
                f"sassafrasctl {' '.join(arguments)} failed with "
                f"exit code {child.returncode}\n{text}"
            )
        return text

    def _record_accepted(self, document: dict[str, Any]) -> None:
        self._document = document
        self._cluster.record_policy(document)
