"""Subcommands ``status``, ``operations`` and ``voters``."""

import urllib.parse

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._exit import ExitCode, ReportedFailure, exit_with_failure
from laburnumrock.cli._options import (
    json_option,
    make_request_id,
    show,
    unwrap_or_exit,
    wait_options,
)
from laburnumrock.cli._registry import register_command
from laburnumrock.cli._render import describe_operation, describe_status
from laburnumrock.errors import ErrorKind, Failure


@register_command
@click.command()
@json_option
@click.pass_obj
def status(client: OperatorClient, as_json: bool) -> None:
    """Show the status of the first server that responds."""
    document = unwrap_or_exit(client.get("status"))
    show(document, as_json, describe_status(document))


@register_command
@click.group()
def operations() -> None:
    """Show and reconcile operations that may not be repeated."""


@operations.command("show")
@click.argument("account")
@click.argument("key")
@json_option
@click.pass_obj
def show_operation(client: OperatorClient, account: str, key: str, as_json: bool) -> None:
    """Show the operation of ACCOUNT with the idempotency key KEY."""
    document = unwrap_or_exit(client.get(_operation_path(account, key)))
    _check_exists(account, key, document)
    show(document, as_json, describe_operation(account, key, document))


@operations.command("reconcile")
@click.argument("account")
@click.argument("key")
@click.option("--outcome", type=click.Choice(["done", "not_run"]), required=True)
@click.option("--source", required=True, help="Evidence for the outcome, such as a ledger entry.")
@click.option("--request-id", help="Request id of an earlier attempt whose response was lost.")
@wait_options
@click.pass_obj
def reconcile(
    client: OperatorClient,
    account: str,
    key: str,
    outcome: str,
    source: str,
    request_id: str | None,
    wait: bool,
    wait_timeout: float,
) -> None:
    """Record the outcome of an operation whose outcome is unknown.

    When the command returns, the record is in the replicated log and in force, so --wait has no
    effect.
    """
    request_id = request_id or make_request_id()
    body = {"outcome": outcome, "source": source, "request_id": request_id}
    path = f"{_operation_path(account, key)}/reconcile"
    document = unwrap_or_exit(client.call("POST", path, body), request_id)
    _check_exists(account, key, document)
    # A repeated attempt is not accepted, but succeeds if the requested outcome is already recorded.
    if not document["accepted"] and document["state"] != outcome:
        detail = f"operation {key} of {account} is {document['state']}; nothing was recorded"
        exit_with_failure(ReportedFailure(Failure(ErrorKind.INVALID_REQUEST, detail)))
    click.echo(f"operation {key} of {account} is recorded as {document['state']}")
    if document.get("source"):
        click.echo(f"source: {document['source']}")


@register_command
@click.group()
def voters() -> None:
    """Add and remove voters of the replicated log."""


@voters.command("add")
@click.argument("instance_id")
@wait_options
@click.pass_obj
def add_voter(client: OperatorClient, instance_id: str, wait: bool, wait_timeout: float) -> None:
    """Add INSTANCE_ID; with --wait, return once the log lists it."""
    _change_voter(client, "add", instance_id, wait, wait_timeout)


@voters.command("remove")
@click.argument("instance_id")
@wait_options
@click.pass_obj
def remove_voter(client: OperatorClient, instance_id: str, wait: bool, wait_timeout: float) -> None:
    """Remove INSTANCE_ID; with --wait, return once the log no longer lists it."""
    _change_voter(client, "remove", instance_id, wait, wait_timeout)


def _change_voter(
    client: OperatorClient, action: str, instance_id: str, wait: bool, wait_timeout: float
) -> None:
    unwrap_or_exit(client.call("POST", "voters", {"action": action, "instance_id": instance_id}))
    click.echo(f"voters: {action} {instance_id} accepted")
    if not wait:
        return
    if client.wait_for_voter(instance_id, action == "add", wait_timeout):
        click.echo("in force")
        return
    click.echo(f"not in force within {wait_timeout:g} s; lagging: {instance_id}", err=True)
    raise SystemExit(ExitCode.NOT_IN_FORCE)


def _operation_path(account: str, key: str) -> str:
    return f"operations/{urllib.parse.quote(account, safe='')}/{urllib.parse.quote(key, safe='')}"


def _check_exists(account: str, key: str, document: dict) -> None:
    if document["state"] is None:
        detail = f"no operation {key} of {account} is recorded"
        exit_with_failure(ReportedFailure(Failure(ErrorKind.NOT_FOUND, detail)))
