"""Subcommands ``validate``, ``plan``, ``diff``, ``apply`` and ``history``."""

import json
from dataclasses import asdict
from datetime import UTC, datetime
from pathlib import Path

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._exit import ExitCode, ReportedFailure, exit_with_failure
from laburnumrock.cli._options import (
    folder_argument,
    json_option,
    make_request_id,
    show,
    unwrap_or_exit,
    wait_if_requested,
    wait_options,
)
from laburnumrock.cli._registry import register_command
from laburnumrock.declarations import (
    Difference,
    changes_to_plain,
    diff_sets,
    plan_changes,
    read_folder,
)
from laburnumrock.errors import ErrorKind, Failure

exit_code_option = click.option(
    "--exit-code", is_flag=True, help="Exit with 10 if there are differences."
)
_SIGNS = {"add": "+", "change": "~", "remove": "-"}


@register_command
@click.command()
@folder_argument
@json_option
def validate(folder: Path, as_json: bool) -> None:
    """Check the declarations in FOLDER without a server."""
    found = unwrap_or_exit(read_folder(folder))
    counts = {
        "templates": len(found.templates),
        "services": len(found.services),
        "service_states": len(found.service_states),
    }
    text = ", ".join(f"{count} {name.replace('_', ' ')}" for name, count in counts.items())
    show({"valid": True} | counts, as_json, [f"valid: {text}"])


@register_command
@click.command()
@folder_argument
@json_option
@exit_code_option
@click.pass_obj
def plan(client: OperatorClient, folder: Path, as_json: bool, exit_code: bool) -> None:
    """List the changes that apply would make, and the revision they are planned against.

    Service states that FOLDER does not declare are kept.
    """
    desired = unwrap_or_exit(read_folder(folder))
    declared = unwrap_or_exit(client.read_declarations())
    differences = diff_sets(declared.declarations, desired)
    lines = [f"{_SIGNS[difference.action]} {difference.key}" for difference in differences]
    document = {
        "base_revision": declared.revision,
        "changes": changes_to_plain(plan_changes(declared.declarations, desired)),
    }
    summary = f"{_format_change_count(differences)} against revision {declared.revision}"
    show(document, as_json, [*lines, summary])
    _exit_with_differences(exit_code, differences)


@register_command
@click.command()
@folder_argument
@json_option
@exit_code_option
@click.pass_obj
def diff(client: OperatorClient, folder: Path, as_json: bool, exit_code: bool) -> None:
    """Show the differences between the current declarations and FOLDER, field by field."""
    desired = unwrap_or_exit(read_folder(folder))
    declared = unwrap_or_exit(client.read_declarations())
    differences = diff_sets(declared.declarations, desired)
    document = {
        "base_revision": declared.revision,
        "differences": [asdict(difference) for difference in differences],
    }
    lines = [line for difference in differences for line in _describe_difference(difference)]
    show(document, as_json, lines or ["no differences"])
    _exit_with_differences(exit_code, differences)


@register_command
@click.command()
@folder_argument
@click.option(
    "--revision", type=click.IntRange(min=0), help="Fail unless this revision is current."
)
@click.option("--request-id", help="Request id of an earlier attempt whose response was lost.")
@wait_options
@click.pass_obj
def apply(
    client: OperatorClient,
    folder: Path,
    revision: int | None,
    request_id: str | None,
    wait: bool,
    wait_timeout: float,
) -> None:
    """Make the declarations equal to FOLDER; succeeds without a change if they already are."""
    desired = unwrap_or_exit(read_folder(folder))
    declared = unwrap_or_exit(client.read_declarations())
    changes = plan_changes(declared.declarations, desired)
    if not changes:
        click.echo(f"no changes at revision {declared.revision}")
        wait_if_requested(client, wait, wait_timeout, revision=declared.revision)
        return
    if revision is not None and revision != declared.revision:
        detail = f"planned against revision {revision}, now {declared.revision}"
        exit_with_failure(ReportedFailure(Failure(ErrorKind.STALE_REVISION, detail)))
    request_id = request_id or make_request_id()
    body = {
        "request_id": request_id,
        "base_revision": declared.revision,
        "changes": changes_to_plain(changes),
    }
    response = unwrap_or_exit(client.call("POST", "changes", body), request_id)
    click.echo(f"{_format_change_count(changes)} applied as revision {response['revision']}")
    wait_if_requested(client, wait, wait_timeout, revision=response["revision"])


@register_command
@click.command()
@click.option("--limit", type=click.IntRange(1, 200), default=20, show_default=True)
@json_option
@click.pass_obj
def history(client: OperatorClient, limit: int, as_json: bool) -> None:
    """List the latest changes, oldest first."""
    document = unwrap_or_exit(client.get("history", limit=limit))
    show(document, as_json, [_describe_entry(entry) for entry in document["entries"]])


def _format_change_count(changes: list) -> str:
    return f"{len(changes)} change{'' if len(changes) == 1 else 's'}"


def _describe_entry(entry: dict) -> str:
    command = entry["command"]
    time = datetime.fromtimestamp(command["stamped_at_s"], UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    keys = [_describe_change(change) for change in command["changes"]]
    return f"{entry['revision']:>6}  {time}  {command['operator']}  {', '.join(keys)}"


def _describe_change(change: dict) -> str:
    if change["action"] == "remove":
        return f"- {change['key']}"
    declaration = change["declaration"]
    if declaration["type"] == "service_state":
        return f"{declaration['kind']}/{declaration['name']}={declaration['state']}"
    return f"{declaration['type']}/{declaration.get('client_account', declaration.get('name'))}"


def _describe_difference(difference: Difference) -> list[str]:
    lines = [f"{_SIGNS[difference.action]} {difference.key}"]
    for sign, fields in (("-", difference.before), ("+", difference.after)):
        for name, value in sorted((fields or {}).items()):
            if difference.action == "change" and value is None:
                continue
            lines.append(f"    {sign} {name}: {json.dumps(value, sort_keys=True)}")
    return lines


def _exit_with_differences(exit_code: bool, differences: list[Difference]) -> None:
    if exit_code and differences:
        raise SystemExit(ExitCode.DIFFERENCES)
