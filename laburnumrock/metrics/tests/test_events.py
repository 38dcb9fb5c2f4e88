"""Tests that the list of log events in ``events.json`` matches the code and the documentation."""

import ast
import json
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2]
EVENTS = json.loads((PACKAGE / "metrics" / "events.json").read_text())
PAGE = PACKAGE.parent / "docs" / "OPERATIONS.md"
SOURCES = (
    "forwarding",
    "nodes",
    "periodic",
    "platform",
    "streams",
    "transport",
    "daemon/_log_runner.py",
    "daemon/_log_task.py",
    "metrics/_log_writer.py",
)
# Fields that every log line of a request has, or that several events share.
COMMON_FIELDS = {"request_id", "route", "elapsed_s", "failure_domain"}


def find_log_calls():
    """Yield the file, the event argument and the field names of every logging call."""
    for source in SOURCES:
        path = PACKAGE / source
        files = [path] if path.suffix else sorted(path.glob("*.py"))
        for file in files:
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.Call) and _get_function_name(node) in (
                    "log_message",
                    "log",
                ):
                    yield file, node.args[0], {keyword.arg for keyword in node.keywords}


def _get_function_name(node: ast.Call) -> str:
    return getattr(node.func, "attr", getattr(node.func, "id", ""))


# Parsed during collection: CPython 3.11 fails with a SystemError if the garbage collector finalizes
# an object of another test while it builds an AST.
LOG_CALLS = list(find_log_calls())


def read_event_names(argument: ast.expr) -> list[str]:
    """Return the event names that an argument can evaluate to; none unless it is constant."""
    if isinstance(argument, ast.Constant):
        return [argument.value]
    if isinstance(argument, ast.IfExp):
        return read_event_names(argument.body) + read_event_names(argument.orelse)
    return []


class TestEvents:
    def test_every_logged_event_is_listed_with_its_fields(self):
        """Guards against log lines with undocumented events or fields."""
        for file, argument, fields in LOG_CALLS:
            for name in read_event_names(argument):
                assert name in EVENTS, f"{file.name}: {name}"
                listed = set(EVENTS[name]["fields"]) | COMMON_FIELDS | {None}
                assert fields <= listed, f"{file.name}: {name} has {fields - listed}"

    def test_every_listed_event_is_logged(self):
        """Guards against listed events that the code no longer logs."""
        logged = {name for _, argument, _ in LOG_CALLS for name in read_event_names(argument)}
        written_by_the_writer = {"lines_dropped", "lines_omitted"}
        assert set(EVENTS) <= logged | written_by_the_writer

    @pytest.mark.parametrize("name", sorted(EVENTS))
    def test_page_lists_the_event(self, name):
        """Guards against events that are missing from the operator documentation."""
        assert f"| `{name}` |" in PAGE.read_text()

    def test_no_event_carries_a_key(self):
        """Guards against log fields that contain secrets or request contents."""
        for entry in EVENTS.values():
            assert not {"key", "authorization", "body", "prompt"} & set(entry["fields"])
