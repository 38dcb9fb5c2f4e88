"""Exit codes, and termination of the program with a failure."""

import json
from dataclasses import dataclass
from enum import IntEnum
from typing import NoReturn

import click

from laburnumrock.errors import ErrorKind, Failure


class ExitCode(IntEnum):
    """Exit codes of the program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    STALE_REVISION = 4
    UNAVAILABLE = 5
    UNAUTHENTICATED = 6
    NOT_IN_FORCE = 7
    NOT_FOUND = 8
    OUTCOME_UNKNOWN = 9
    DIFFERENCES = 10
    REFUSED = 11


EXIT_CODE_MEANINGS = {
    ExitCode.SUCCESS: "success, also when there was nothing to change",
    ExitCode.ERROR: "any other error; the message names it",
    ExitCode.USAGE: "wrong command line",
    ExitCode.INVALID: "invalid declarations or input; nothing was changed",
    ExitCode.STALE_REVISION: "another change came first; plan again",
    ExitCode.UNAVAILABLE: "no server answers with confirmed data; resend with the same request id",
    ExitCode.UNAUTHENTICATED: "the key is missing or wrong",
    ExitCode.NOT_IN_FORCE: "accepted, but not in force everywhere within --wait-timeout",
    ExitCode.NOT_FOUND: "the named object does not exist",
    ExitCode.OUTCOME_UNKNOWN: "the request may have run; resend a change with its request id",
    ExitCode.DIFFERENCES: "differences exist (plan and diff with --exit-code)",
    ExitCode.REFUSED: "refused for now and not run; send it again after the time shown",
}

_EXIT_CODES = {
    ErrorKind.INVALID_REQUEST: ExitCode.INVALID,
    ErrorKind.INVALID_SETTINGS: ExitCode.INVALID,
    ErrorKind.INVALID_DECLARATION: ExitCode.INVALID,
    ErrorKind.IDEMPOTENCY_MISMATCH: ExitCode.INVALID,
    ErrorKind.IDEMPOTENCY_KEY_MISSING: ExitCode.INVALID,
    ErrorKind.BODY_TOO_LARGE: ExitCode.INVALID,
    ErrorKind.PROMPT_TOO_LONG: ExitCode.INVALID,
    ErrorKind.STALE_REVISION: ExitCode.STALE_REVISION,
    ErrorKind.PEER_UNREACHABLE: ExitCode.UNAVAILABLE,
    ErrorKind.QUORUM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ErrorKind.UNAUTHENTICATED: ExitCode.UNAUTHENTICATED,
    ErrorKind.NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorKind.UNKNOWN_CLIENT_ACCOUNT: ExitCode.NOT_FOUND,
    ErrorKind.UNKNOWN_MODEL: ExitCode.NOT_FOUND,
    ErrorKind.RATE_LIMITED: ExitCode.REFUSED,
    ErrorKind.CONCURRENCY_LIMITED: ExitCode.REFUSED,
    ErrorKind.DEADLINE_UNREACHABLE: ExitCode.REFUSED,
    ErrorKind.NO_UPSTREAM: ExitCode.REFUSED,
    ErrorKind.OWNER_UNAVAILABLE: ExitCode.REFUSED,
    ErrorKind.STOPPING: ExitCode.REFUSED,
    ErrorKind.CONNECTION_FAILED: ExitCode.REFUSED,
    ErrorKind.OPERATION_IN_PROGRESS: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.JOURNAL_UNAVAILABLE: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.DEADLINE_EXCEEDED: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.UPSTREAM_FAILED: ExitCode.OUTCOME_UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class ReportedFailure:
    """Failure that terminates the program.

    Parameters
    ----------
    failure : Failure
        The failure.
    request_id : str, optional
        Request id to pass when the command is repeated.
    """

    failure: Failure
    request_id: str | None = None


def find_exit_code(kind: ErrorKind) -> ExitCode:
    """Return the exit code of an error kind."""
    return _EXIT_CODES.get(kind, ExitCode.ERROR)


def describe_exit_codes() -> str:
    """Return the table of exit codes as text."""
    return "\n".join(f"  {code:>2}  {meaning}" for code, meaning in EXIT_CODE_MEANINGS.items())


def exit_with_failure(reported: ReportedFailure) -> NoReturn:
    """Write a failure to standard error and exit with its exit code."""
    click.echo(f"error: {reported.failure}", err=True)
    if reported.failure.retry_after_s is not None:
        click.echo(f"retry after: {reported.failure.retry_after_s:g} s", err=True)
    if reported.request_id is not None:
        click.echo(f"request id: {reported.request_id}", err=True)
    raise SystemExit(find_exit_code(reported.failure.kind))


def print_json(value: object) -> None:
    """Write a value as JSON to standard output."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))
