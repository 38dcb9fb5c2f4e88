"""Subcommand ``request``, which sends requests of a caller."""

import json
import urllib.parse
from pathlib import Path
from typing import BinaryIO, TextIO

import click

from laburnumrock.cli._caller import CallerRequest, send_request
from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._options import unwrap_or_exit
from laburnumrock.cli._registry import register_command

file_type = click.Path(path_type=Path, dir_okay=False, exists=True)


@register_command
@click.group()
def request() -> None:
    """Send one request as a caller would."""


@request.command()
@click.option("--account", required=True, help="Client account.")
@click.option("--account-key-file", type=file_type, help="File with the account's key.")
@click.option("--caller", help="Name of the caller inside the account.")
@click.option("--model", help="Model; by default that of the account's template.")
@click.option("--max-tokens", type=click.IntRange(min=1), default=64, show_default=True)
@click.option("--stream", is_flag=True, help="Write the text as it arrives.")
@click.option(
    "--deadline",
    type=click.FloatRange(min=0.01),
    help="Value of the X-Timeout-S header, in seconds.",
)
@click.argument("prompt_file", type=click.File("r", encoding="utf-8"))
@click.pass_obj
def completion(
    client: OperatorClient,
    account: str,
    account_key_file: Path | None,
    caller: str | None,
    model: str | None,
    max_tokens: int,
    stream: bool,
    deadline: float | None,
    prompt_file: TextIO,
) -> None:
    """Complete the prompt in PROMPT_FILE (- for standard input); set --timeout accordingly."""
    optional = {"model": model, "user": caller}
    body = {name: value for name, value in optional.items() if value is not None}
    body |= {"prompt": prompt_file.read(), "max_tokens": max_tokens, "stream": stream}
    headers = _make_headers(account, account_key_file, deadline)
    caller_request = CallerRequest(
        "POST", "/v1/completions", headers, json.dumps(body).encode("utf-8")
    )
    on_text = _write_text if stream else None
    response_body = unwrap_or_exit(
        send_request(client.servers, caller_request, client.timeout_s, on_text)
    )
    click.echo(response_body.decode("utf-8", "replace"))


@request.command()
@click.option("--account", required=True, help="Client account.")
@click.option("--account-key-file", type=file_type, help="File with the account's key.")
@click.option("--method", type=click.Choice(["GET", "POST"]), default="GET", show_default=True)
@click.option("--body-file", type=click.File("rb"), help="Body to send.")
@click.option(
    "--idempotency-key", help="Idempotency key; required for calls that may not be repeated."
)
@click.argument("service")
@click.argument("path")
@click.pass_obj
def service(
    client: OperatorClient,
    account: str,
    account_key_file: Path | None,
    method: str,
    body_file: BinaryIO | None,
    idempotency_key: str | None,
    service: str,
    path: str,
) -> None:
    """Call PATH of the plain service SERVICE."""
    headers = _make_headers(account, account_key_file)
    if idempotency_key is not None:
        headers["Idempotency-Key"] = idempotency_key
    body = body_file.read() if body_file is not None else None
    if method == "POST" and body is None:
        body = b""
    url_path = f"/v1/services/{urllib.parse.quote(service, safe='')}/{path.lstrip('/')}"
    caller_request = CallerRequest(method, url_path, headers, body)
    response_body = unwrap_or_exit(send_request(client.servers, caller_request, client.timeout_s))
    click.echo(response_body.decode("utf-8", "replace"))


def _make_headers(
    account: str, key_file: Path | None, deadline_s: float | None = None
) -> dict[str, str]:
    headers = {"X-Client-Account": account, "Content-Type": "application/json"}
    if key_file is not None:
        headers["Authorization"] = f"Bearer {key_file.read_text(encoding='utf-8').strip()}"
    if deadline_s is not None:
        headers["X-Timeout-S"] = f"{deadline_s:g}"
    return headers


def _write_text(text: str) -> None:
    click.echo(text, nl=False)
