"""Command line interface ``sassafrasway``."""

import asyncio
import importlib.metadata
import pathlib
import sys

import click
import uvloop

from sassafrasway_core import errors
from sassafrasway_entry import process, settings, telemetry

EXIT_FAILURE = 1
EXIT_USAGE = 2

_config_option = click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings file in TOML.",
)


@click.group()
def cli() -> None:
    """Entry instance of the sassafrasway traffic steering system."""


@cli.command()
@_config_option
def run(path: pathlib.Path) -> None:
    """Runs an entry instance until SIGTERM or SIGINT."""
    loaded = _load(path)
    telemetry.configure_logging(loaded.logging)
    entry = process.EntryProcess(settings=loaded)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(entry.run())


@cli.command("check-config")
@_config_option
def check_config(path: pathlib.Path) -> None:
    """Checks a settings file and prints every problem."""
    loaded = _load(path)
    click.echo(f"{path}: settings of instance {loaded.instance.name} are valid")


@cli.command()
def version() -> None:
    """Prints the version."""
    click.echo(importlib.metadata.version("sassafrasway-entry"))


def _load(path: pathlib.Path) -> settings.Settings:
    try:
        return settings.load(path)
    except errors.ValidationError as error:
        click.echo(error.message, err=True)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    cli()
