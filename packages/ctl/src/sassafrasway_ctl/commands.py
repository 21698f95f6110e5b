"""The commands of sassafrasctl."""

import json
from typing import Any, BinaryIO

import click
from click import shell_completion

from sassafrasway_core import documents, errors
from sassafrasway_ctl import options, output, policy_files
from sassafrasway_rpc import schema

PROGRAM = "sassafrasctl"
_COMPLETE_VARIABLE = "_SASSAFRASCTL_COMPLETE"
_SHELLS = ("bash", "zsh", "fish")
_POLICY_FILE = click.argument("file", type=click.File("rb"), default="-")


@click.command()
@options.shared
@options.change
@_POLICY_FILE
@click.pass_obj
def apply(settings: options.Options, file: BinaryIO, change: options.ChangeOptions) -> None:
    """Applies a full policy document or a change file.

    Reads JSON from FILE, or from the standard input if FILE is omitted or "-". A full document
    with a "revision" key is rejected when that revision is no longer current.
    """
    operator = settings.client()
    plan = policy_files.plan(file.read(), change_options=change, operator=operator, compare=False)
    if plan.current is not None and not plan.change.sections:
        _show_unchanged(settings, plan.current.revision)
        return
    text = json.dumps(documents.dump_change(plan.change))
    _submit(settings, plan.change.change_id, "apply_change", change_json=text)


@click.command()
@options.shared
@_POLICY_FILE
@click.pass_obj
def diff(settings: options.Options, file: BinaryIO) -> None:
    """Shows the changes that apply would make."""
    change = options.ChangeOptions(change_id="diff", author="diff", base_revision=None)
    plan = policy_files.plan(
        file.read(), change_options=change, operator=settings.client(), compare=True
    )
    output.show_difference(
        plan.current, plan.desired, plan.change.sections, as_json=settings.as_json
    )


@click.command()
@options.shared
@click.option(
    "--revision", type=click.IntRange(1, options.MAX_REVISION), help="Older revision to print."
)
@click.pass_obj
def get(settings: options.Options, revision: int | None) -> None:
    """Prints the policy as a document that apply accepts."""
    reply = settings.client().call("get_policy", revision=revision)
    document = json.loads(reply.document_json)
    output.show_json(
        {policy_files.REVISION_KEY: reply.revision, **document}, compact=settings.as_json
    )


@click.command()
@options.shared
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option(
    "--before", type=click.IntRange(1, options.MAX_REVISION), help="Only revisions below this one."
)
@click.pass_obj
def history(settings: options.Options, limit: int, before: int | None) -> None:
    """Lists accepted changes, newest first."""
    entries = settings.client().call("history", limit=limit, before=before)
    output.show_history(entries, as_json=settings.as_json)


@click.command()
@options.shared
@options.change
@click.argument("revision", type=click.IntRange(0, options.MAX_REVISION))
@click.pass_obj
def rollback(settings: options.Options, revision: int, change: options.ChangeOptions) -> None:
    """Restores the content of REVISION as a new revision."""
    _submit_with_meta(settings, change, "rollback", revision=revision)


@click.group()
def shift() -> None:
    """Starts and stops shifts of traffic between regions."""


@shift.command("start")
@options.shared
@options.change
@click.argument("name")
@click.option("--service", required=True, help="Service whose requests are shifted.")
@click.option(
    "--source", "--from", "source", required=True, help="Home region whose requests are shifted."
)
@click.option("--target", "--to", "target", required=True, help="Region that receives them.")
@click.option("--cap-rps", type=float, required=True, help="Maximum shifted rate, requests/s.")
@click.option(
    "--fraction",
    type=float,
    default=1.0,
    show_default=True,
    help="Final share of the requests that is shifted, 0 to 1.",
)
@click.option(
    "--pace-per-s",
    type=float,
    default=0.1,
    show_default=True,
    help="Growth of the shifted share, 1/s.",
)
@click.pass_obj
def shift_start(
    settings: options.Options, name: str, service: str, change: options.ChangeOptions, **values: Any
) -> None:
    """Starts or replaces the shift NAME."""
    spec = schema.config.ShiftSpec(service_name=service, **values)
    _submit_with_meta(settings, change, "start_shift", name=name, shift=spec)


@shift.command("stop")
@options.shared
@options.change
@click.argument("name")
@click.pass_obj
def shift_stop(settings: options.Options, name: str, change: options.ChangeOptions) -> None:
    """Stops the shift NAME."""
    _submit_with_meta(settings, change, "stop_shift", name=name)


@click.group()
def drain() -> None:
    """Drains a backend server or an entry instance."""


@drain.command("server")
@options.shared
@options.change
@click.argument("name")
@click.option("--cancel", is_flag=True, help="Make a leaving server active again.")
@click.pass_obj
def drain_server(
    settings: options.Options, name: str, cancel: bool, change: options.ChangeOptions
) -> None:
    """Stops sending new requests to the backend server NAME."""
    kind = schema.config.DrainKind.SERVER
    _submit_with_meta(settings, change, "drain", kind=kind, name=name, cancel=cancel)


@drain.command("instance")
@options.shared
@options.change
@click.argument("name")
@click.pass_obj
def drain_instance(settings: options.Options, name: str, change: options.ChangeOptions) -> None:
    """Starts the graceful shutdown of the entry instance NAME."""
    kind = schema.config.DrainKind.INSTANCE
    settings.client().call("drain", kind=kind, name=name, meta=change.meta(), cancel=False)
    if settings.as_json:
        output.show_json({"instance": name, "state": "leaving"}, compact=True)
    else:
        click.echo(f"Instance {name} is leaving")


@click.command()
@options.shared
@click.pass_obj
def status(settings: options.Options) -> None:
    """Shows a summary of the state of the instance that answers."""
    output.show_state(json.loads(settings.client().call("status")), as_json=settings.as_json)


@click.command()
@options.shared
@click.pass_obj
def dump(settings: options.Options) -> None:
    """Prints the full state of the instance that answers as JSON."""
    output.show_json(json.loads(settings.client().call("dump")), compact=settings.as_json)


@click.command()
@click.argument("shell", type=click.Choice(_SHELLS))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Prints the script that enables command completion in SHELL.

    For bash: eval "$(sassafrasctl completion bash)"
    """
    completer = shell_completion.get_completion_class(shell)
    script = completer(context.find_root().command, {}, PROGRAM, _COMPLETE_VARIABLE)
    # Calls the base class method, because the bash subclass runs bash to get its version.
    click.echo(shell_completion.ShellComplete.source(script))


ALL = (apply, diff, get, history, rollback, shift, drain, status, dump, completion)


def _submit_with_meta(
    settings: options.Options, change: options.ChangeOptions, method: str, **arguments: Any
) -> None:
    _submit(settings, change.change_id, method, meta=change.meta(), **arguments)


def _submit(settings: options.Options, change_id: str, method: str, **arguments: Any) -> None:
    try:
        reply = settings.client().call(method, **arguments)
    except errors.UnavailableError as error:
        raise errors.UnavailableError(
            f"{error.message}\nThe change may have been accepted. To make sure, repeat the command"
            f" with --change-id {change_id}",
            step=error.step,
        ) from error
    output.show_change(reply, change_id=change_id, as_json=settings.as_json)


def _show_unchanged(settings: options.Options, revision: int) -> None:
    if settings.as_json:
        output.show_json({"revision": revision, "unchanged": True}, compact=True)
    else:
        click.echo(f"Revision {revision} already matches the document")
