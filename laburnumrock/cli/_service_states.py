"""Subcommands ``drain``, ``restore`` and ``hold``."""

import urllib.parse

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._options import (
    make_request_id,
    unwrap_or_exit,
    wait_if_requested,
    wait_options,
)
from laburnumrock.cli._registry import register_command
from laburnumrock.declarations import (
    InService,
    PutChange,
    ServiceKind,
    ServiceState,
    changes_to_plain,
    parse_changes,
)
from laburnumrock.errors import ErrorKind

# A drain is independent of other changes, so it is planned again if another change was committed
# first.
MAX_ATTEMPTS = 10

kind_argument = click.argument("kind", type=click.Choice([str(kind) for kind in ServiceKind]))


@register_command
@click.command()
@kind_argument
@click.argument("name")
@wait_options
@click.pass_obj
def drain(client: OperatorClient, kind: str, name: str, wait: bool, wait_timeout: float) -> None:
    """Take KIND NAME out of service: it gets no new requests, running ones continue."""
    revision = _set_state(client, kind, name, InService.DRAINED)
    wait_if_requested(client, wait, wait_timeout, revision=revision)


@register_command
@click.command()
@kind_argument
@click.argument("name")
@wait_options
@click.pass_obj
def restore(client: OperatorClient, kind: str, name: str, wait: bool, wait_timeout: float) -> None:
    """Return KIND NAME to service."""
    revision = _set_state(client, kind, name, InService.IN_SERVICE)
    wait_if_requested(client, wait, wait_timeout, revision=revision)


@register_command
@click.group()
def hold() -> None:
    """Emergency drain of a failure domain that may be cut off from the quorum."""


@hold.command("add")
@click.argument("failure_domain")
@wait_options
@click.pass_obj
def add_hold(client: OperatorClient, failure_domain: str, wait: bool, wait_timeout: float) -> None:
    """Hold FAILURE_DOMAIN; --server must name an instance of it.

    With --wait the command returns once all instances of the domain have the hold.
    """
    unwrap_or_exit(client.call("POST", "holds", {"failure_domain": failure_domain}))
    click.echo(f"{failure_domain} is held")
    wait_if_requested(client, wait, wait_timeout, hold=failure_domain)


@hold.command("remove")
@click.argument("failure_domain")
@wait_options
@click.pass_obj
def remove_hold(
    client: OperatorClient, failure_domain: str, wait: bool, wait_timeout: float
) -> None:
    """Remove a hold that is not yet in the log; for one in the log, use restore."""
    path = f"holds/{urllib.parse.quote(failure_domain, safe='')}"
    unwrap_or_exit(client.call("DELETE", path))
    click.echo(f"{failure_domain} is no longer held")
    wait_if_requested(client, wait, wait_timeout, hold=failure_domain)


def _set_state(client: OperatorClient, kind: str, name: str, state: InService) -> int:
    plain = {"type": "service_state", "kind": kind, "name": name, "state": str(state)}
    unwrap_or_exit(parse_changes([{"action": "put", "declaration": plain}]))
    if kind == ServiceKind.FAILURE_DOMAIN:
        _warn_about_unknown_domain(client, name)
    declaration = ServiceState(kind=ServiceKind(kind), name=name, state=state)
    changes = changes_to_plain([PutChange(declaration=declaration)])
    for attempt in range(1, MAX_ATTEMPTS + 1):
        declared = unwrap_or_exit(client.read_declarations())
        if declared.declarations.find_state(kind, name) is state:
            click.echo(f"{kind} {name} is {state} at revision {declared.revision}")
            return declared.revision
        request_id = make_request_id()
        body = {
            "request_id": request_id,
            "base_revision": declared.revision,
            "changes": changes,
        }
        result = client.call("POST", "changes", body)
        stale = result.is_err() and result.unwrap_err().kind is ErrorKind.STALE_REVISION
        if stale and attempt < MAX_ATTEMPTS:
            continue
        revision = unwrap_or_exit(result, request_id)["revision"]
        click.echo(f"{kind} {name} is {state} as of revision {revision}")
        return revision
    raise AssertionError("unreachable: the last attempt returns or exits the program")


def _warn_about_unknown_domain(client: OperatorClient, failure_domain: str) -> None:
    """Warn if no pool is in the failure domain, since a drain of a misspelled name has no effect.

    The drain is not rejected, because a failure domain that is drained may have lost all its pools.
    """
    result = client.get("status")
    if result.is_err():
        return
    document = result.unwrap()
    known = {pool.partition("/")[0] for pool in document.get("pools", {})}
    known.add(document.get("failure_domain"))
    if failure_domain not in known:
        names = ", ".join(sorted(filter(None, known))) or "none"
        text = f"warning: no pool in failure domain {failure_domain} is known (known: {names})"
        click.echo(text, err=True)
