"""Subcommand ``orders`` for orders to model engines."""

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._options import json_option, make_request_id, show, unwrap_or_exit
from laburnumrock.cli._registry import register_command

TARGET_ARGUMENTS = {
    "load_model": "model",
    "load_adapter": "adapter",
    "load_version": "version",
    "change_role": "role",
}


@register_command
@click.group()
def orders() -> None:
    """Add and list orders to model engines."""


@orders.command("add")
@click.argument("upstream_id")
@click.argument("kind", type=click.Choice(list(TARGET_ARGUMENTS)))
@click.argument("target")
@click.option("--request-id", help="Request id of an earlier attempt whose response was lost.")
@json_option
@click.pass_obj
def add_order(
    client: OperatorClient,
    upstream_id: str,
    kind: str,
    target: str,
    request_id: str | None,
    as_json: bool,
) -> None:
    """Order UPSTREAM_ID to load TARGET or to change to the role TARGET."""
    request_id = request_id or make_request_id()
    body = {
        "request_id": request_id,
        "upstream_id": upstream_id,
        "kind": kind,
        "arguments": {TARGET_ARGUMENTS[kind]: target},
    }
    document = unwrap_or_exit(client.call("POST", "orders", body), request_id)
    show(document, as_json, [f"order {document['order_id']} is {document['state']}"])


@orders.command("list")
@click.option("--upstream", help="Only orders to this engine.")
@json_option
@click.pass_obj
def list_orders(client: OperatorClient, upstream: str | None, as_json: bool) -> None:
    """List the newest orders, oldest first."""
    query = {"upstream": upstream} if upstream else {}
    document = unwrap_or_exit(client.get("orders", **query))
    lines = [
        f"{item['order_id']} {item['upstream_id']} {item['kind']} "
        f"{item['arguments'][TARGET_ARGUMENTS[item['kind']]]}: "
        f"{item['state']} {item['result']}".rstrip()
        for item in document["orders"]
    ]
    show(document, as_json, lines)
