"""The command ``sassafrasway-standins``."""

import importlib

import click

# Modules by subcommand; each module defines a click command named ``command``.
_MODULES = {
    "store": "store",
    "backend": "backend_process",
    "link": "link",
    "load": "load",
    "bench": "bench",
    "check": "check",
    "capacity": "capacity",
    "capacity-fleet": "capacity_fleet",
    "demo": "demo",
}


class _LazyGroup(click.Group):
    """Command group that imports the module of a subcommand only when it is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        module_name = _MODULES.get(cmd_name)
        if module_name is None:
            return None
        full_name = f"sassafrasway_standins.{module_name}"
        try:
            module = importlib.import_module(full_name)
        except ModuleNotFoundError as error:
            if error.name != full_name:
                raise
            return _missing_command(cmd_name)
        return module.command


def _missing_command(name: str) -> click.Command:
    @click.command(name, help="Not part of this build.")
    def command() -> None:
        raise click.ClickException(f"subcommand {name} is not part of this build")

    return command


@click.group(cls=_LazyGroup)
def cli() -> None:
    """Stand-ins for outside systems, load tool, history checker, demo and benchmarks."""


if __name__ == "__main__":
    cli()
