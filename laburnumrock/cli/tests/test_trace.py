"""Tests of the subcommands ``trace`` and ``metrics``."""

import json

from click.testing import CliRunner

from laburnumrock.cli import build_program

LINES = [
    {"at": 2.0, "event": "answered", "instance": "10.0.0.1", "request_id": "r1", "status": 200},
    {"at": 1.0, "event": "placement_decided", "instance": "10.0.0.9", "request_id": "r1"},
    {"at": 1.5, "event": "request_placed", "instance": "10.0.0.1", "request_id": "r2"},
    {"at": 1.6, "event": "memory_reserved", "instance": "10.0.0.1", "name": "r1-7", "status": None},
]


def run(*arguments) -> tuple[int, str]:
    result = CliRunner().invoke(build_program(), [str(argument) for argument in arguments])
    return result.exit_code, result.output


class TestTrace:
    def test_lines_of_several_files_in_order(self, tmp_path):
        """Guards against a trace that omits a process or is not sorted by time."""
        first, second = tmp_path / "a.log", tmp_path / "b.log"
        first.write_text("\n".join(json.dumps(line) for line in LINES[:1]) + "\nnot a line\n")
        second.write_text("\n".join(f" 1.2 node {json.dumps(line)}" for line in LINES[1:]))
        status, output = run("trace", "r1", first, second)
        assert status == 0
        events = [line.split()[3] for line in output.splitlines()]
        assert events == ["placement_decided", "memory_reserved", "answered"]
        assert "status=200" in output

    def test_unknown_request(self, tmp_path):
        """Guards against an unknown request that is reported as a successful empty trace."""
        path = tmp_path / "a.log"
        path.write_text(json.dumps(LINES[0]))
        assert run("trace", "r9", path)[0] == 8


class TestMetrics:
    def test_unreachable_process(self):
        """Guards against an unhandled exception for a process that does not respond."""
        status, output = run("metrics", "http://127.0.0.1:1/metrics")
        assert status == 5
        assert "127.0.0.1:1" in output
