"""Entry point of the sassafrasctl command."""

from typing import Any

import click

from sassafrasway_core import errors
from sassafrasway_ctl import commands, explain, options, output, trace


class _ErrorReportingGroup(click.Group):
    """Command group that reports sassafrasway errors with their exit codes."""

    def invoke(self, context: click.Context) -> Any:
        """See base class."""
        try:
            return super().invoke(context)
        except errors.SassafraswayError as error:
            as_json = context.ensure_object(options.Options).as_json
            raise output.CommandError(error, as_json=as_json) from error


@click.group(
    cls=_ErrorReportingGroup,
    context_settings={"default_map": None, "help_option_names": ["-h", "--help"]},
)
@options.shared
def cli() -> None:
    """Changes and inspects the steering policy of sassafrasway.

    Exit codes: 0 success, 1 failure, 2 usage, 3 conflict, 4 unavailable.
    """


for _command in (*commands.ALL, explain.explain, trace.trace):
    cli.add_command(_command)

if __name__ == "__main__":
    cli(prog_name=commands.PROGRAM)
