"""Tests of the command line against the operator handlers over HTTP."""

import json
import socket
from pathlib import Path

import pytest
from click.testing import CliRunner

from laburnumrock.cli import build_program
from laburnumrock.cli._app import DEFAULT_TIMEOUT_S
from laburnumrock.cli._caller import CompletionReader, EventParser
from laburnumrock.cli._exit import EXIT_CODE_MEANINGS, ExitCode, describe_exit_codes, find_exit_code
from laburnumrock.daemon._log_task import PROPOSE_TIMEOUT_S
from laburnumrock.declarations.tests._builders import plain_template
from laburnumrock.errors import ANSWERS, ErrorKind, Outcome, RetryAdvice
from laburnumrock.gateway.tests._operator_fakes import KEY, make_services, run_server

DOCS = Path(__file__).parents[3] / "docs" / "cli.md"


class Shell:
    """Runs the program against a fake instance, after a server that refuses connections."""

    def __init__(self, url, folder, services, refusing):
        dead = f"http://127.0.0.1:{refusing.getsockname()[1]}"
        key_file = folder / "key"
        key_file.write_bytes(KEY)
        self.options = ["--server", dead, "--server", url, "--operator-key-file", str(key_file)]
        self.declarations = services.declarations
        self.declarations.view.confirm(float("inf"))
        self.folder = folder / "declarations"
        self.folder.mkdir()

    def run(self, *arguments):
        result = CliRunner().invoke(build_program(), [*self.options, *map(str, arguments)])
        assert result.exception is None or isinstance(result.exception, SystemExit)
        return result.exit_code, result.output

    def declare(self, *templates):
        (self.folder / "all.json").write_text(json.dumps(templates))


@pytest.fixture
def shell(tmp_path):
    services = make_services()
    # A port that is bound without a listener refuses connections, and no other process can take it.
    with socket.socket() as refusing, run_server(services) as url:
        refusing.bind(("127.0.0.1", 0))
        yield Shell(url, tmp_path, services, refusing)


class TestDeclarationCommands:
    def test_apply_is_idempotent(self, shell):
        """Guards against a pipeline that fails or creates a revision when nothing has changed."""
        shell.declare(plain_template())
        assert shell.run("plan", shell.folder, "--exit-code")[0] == ExitCode.DIFFERENCES
        assert shell.run("apply", shell.folder, "--wait") == (
            0,
            "1 change applied as revision 1\nin force everywhere\n",
        )
        assert shell.run("apply", shell.folder) == (0, "no changes at revision 1\n")
        assert shell.run("diff", shell.folder, "--exit-code") == (0, "no differences\n")
        assert len(shell.declarations.commands) == 1

    def test_planned_revision_is_checked(self, shell):
        """Guards against a reviewed plan that is applied after another change was committed."""
        shell.declare(plain_template())
        shell.run("drain", "failure_domain", "a")
        code, output = shell.run("apply", shell.folder, "--revision", 0)
        assert (code, shell.declarations.store.revision) == (ExitCode.STALE_REVISION, 1)
        assert "now 1" in output

    def test_lost_response_is_resent_with_the_same_request_id(self, shell):
        """Guards against a change that runs twice or seems rejected because a response was lost."""
        shell.declare(plain_template())
        shell.declarations.lost_responses = 1
        shell.options += shell.options[2:4]
        assert shell.run("apply", shell.folder)[0] == 0
        first, second = shell.declarations.commands
        assert (first.request_id, first.base_revision) == (second.request_id, second.base_revision)

    def test_stale_server_does_not_hide_a_difference(self, shell):
        """Guards against a skipped change because an isolated instance has stale declarations."""
        shell.declare(plain_template())
        shell.run("apply", shell.folder)
        shell.declarations.view.confirmed_at_s = None
        assert shell.run("apply", shell.folder)[0] == ExitCode.UNAVAILABLE

    def test_invalid_folder(self, shell):
        """Guards against an invalid declaration that reaches a server."""
        shell.declare(plain_template(max_output_tokens=0))
        code, output = shell.run("validate", shell.folder)
        assert code == ExitCode.INVALID
        assert "all.json[0].max_output_tokens" in output

    def test_json_output(self, shell):
        """Guards against output that a program cannot parse."""
        shell.declare(plain_template())
        shell.run("apply", shell.folder)
        shell.declare(plain_template(model="n"))
        found = json.loads(shell.run("diff", shell.folder, "--json")[1])
        assert found["differences"][0]["after"] == {"model": "n"}
        assert json.loads(shell.run("plan", shell.folder, "--json")[1])["base_revision"] == 1
        assert json.loads(shell.run("history", "--json")[1])["entries"][0]["revision"] == 1
        assert json.loads(shell.run("status", "--json")[1])["instance_id"] == "a1"
        assert json.loads(shell.run("validate", shell.folder, "--json")[1])["templates"] == 1


class TestOrderCommands:
    def test_add_and_list(self, shell):
        """Guards against an order with another engine, kind or target than the arguments name."""
        add = ("orders", "add", "e1", "load_model", "review", "--request-id", "o1")
        assert shell.run(*add) == (0, "order o1 is recorded\n")
        assert shell.run("orders", "list") == (0, "o1 e1 load_model review: recorded\n")
        assert shell.run("orders", "list", "--upstream", "e2") == (0, "")


class TestServiceStateCommands:
    def test_drain_and_restore(self, shell):
        """Guards against a drain that is lost, or that creates a new revision when repeated."""
        assert shell.run("drain", "upstream", "e1", "--wait")[0] == 0
        assert not shell.declarations.view.is_in_service("upstream", "e1")
        assert shell.run("drain", "upstream", "e1")[0] == 0
        assert shell.run("restore", "upstream", "e1")[0] == 0
        assert shell.declarations.view.is_in_service("upstream", "e1")
        assert shell.declarations.store.revision == 2
        assert shell.run("drain", "upstream", "a b")[0] == ExitCode.INVALID

    def test_unknown_failure_domain_is_named(self, shell):
        """Guards against a misspelled name that drains nothing but reports success."""
        code, output = shell.run("drain", "failure_domain", "fd-l")
        assert (code, "no pool in failure domain fd-l is known" in output) == (0, True)

    def test_wait_lists_lagging_instances(self, shell):
        """Guards against a wait that succeeds too early or does not list the lagging instances."""
        shell.declarations.lagging = [["b2"], ["b2"]]
        assert shell.run("drain", "instance", "b1", "--wait")[0] == 0
        shell.declarations.lagging = [["b2", "c1"]] * 50
        code, output = shell.run("restore", "instance", "b1", "--wait", "--wait-timeout", 0.3)
        assert code == ExitCode.NOT_IN_FORCE
        assert "b2, c1" in output

    def test_wait_polls_more_than_one_server(self, shell):
        """Guards against a wait that fails because an isolated instance sees all others lag."""
        isolated = make_services()
        isolated.declarations.lagging = [["a1", "b1", "c1"]] * 50
        with run_server(isolated) as url:
            shell.options = ["--server", url, *shell.options]
            assert shell.run("drain", "instance", "b1", "--wait", "--wait-timeout", 3)[0] == 0

    def test_holds(self, shell):
        """Guards against a hold that the command line cannot end."""
        assert shell.run("hold", "add", "a", "--wait")[0] == 0
        assert not shell.declarations.view.is_in_service("failure_domain", "a")
        assert shell.run("hold", "remove", "a")[0] == 0
        assert shell.run("hold", "remove", "a")[0] == ExitCode.NOT_FOUND


class TestControlCommands:
    def test_operations_and_voters(self, shell):
        """Guards against a key with a slash that is resolved to another operation."""
        code, output = shell.run("operations", "show", "acme", "k/1", "--json")
        assert (code, json.loads(output)["key"]) == (0, "k/1")
        arguments = ["--outcome", "done", "--source", "ledger"]
        assert shell.run("operations", "reconcile", "acme", "k/1", *arguments)[0] == 0
        assert shell.run("operations", "show", "acme", "absent")[0] == ExitCode.NOT_FOUND
        assert shell.run("voters", "add", "a2", "--wait")[0] == 0
        code, output = shell.run("voters", "remove", "a1", "--wait", "--wait-timeout", 0.1)
        assert code == ExitCode.NOT_IN_FORCE
        assert "lagging: a1" in output

    def test_reconcile_reports_what_the_journal_holds(self, shell):
        """Guards against "recorded as not_run" for an operation that is settled as done."""
        arguments = ["--source", "ledger", "--outcome"]
        code, output = shell.run(
            "operations", "reconcile", "acme", "settled", *arguments, "not_run"
        )
        assert (code, "is done; nothing was recorded" in output) == (ExitCode.INVALID, True)
        assert shell.run("operations", "reconcile", "acme", "settled", *arguments, "done")[0] == 0
        command = ("operations", "reconcile", "acme", "unrecorded", *arguments, "done")
        assert shell.run(*command)[0] == ExitCode.NOT_FOUND
        assert shell.run("operations", "show", "acme", "unrecorded")[0] == ExitCode.NOT_FOUND

    def test_default_timeout_exceeds_the_servers(self):
        """Guards against "Timeout during request" that hides why a voter was rejected."""
        assert DEFAULT_TIMEOUT_S > PROPOSE_TIMEOUT_S + 1

    def test_wrong_key_and_no_server(self, shell, tmp_path):
        """Guards against one exit code for both a wrong key and an unreachable server."""
        (tmp_path / "key").write_text("another key of enough bytes")
        assert shell.run("status")[0] == ExitCode.UNAUTHENTICATED
        shell.options[2:4] = []
        assert shell.run("status")[0] == ExitCode.UNAVAILABLE


class TestExitCodes:
    def test_every_code_is_documented(self, shell):
        """Guards against an exit code that is missing from the help or the documentation."""
        assert set(EXIT_CODE_MEANINGS) == set(ExitCode)
        shown = [line.strip() for line in shell.run("--help")[1].splitlines()]
        assert {line.strip() for line in describe_exit_codes().splitlines()} <= set(shown)
        page = DOCS.read_text(encoding="utf-8")
        for code, meaning in EXIT_CODE_MEANINGS.items():
            assert f"| {int(code)} | {meaning} |" in page

    @pytest.mark.parametrize("kind", ErrorKind)
    def test_code_agrees_with_the_outcome(self, kind):
        """Guards against exit codes that hide that a request may have run, so that it is resent."""
        may_have_run = ANSWERS[kind].outcome is Outcome.UNKNOWN and kind is not ErrorKind.INTERNAL
        assert (find_exit_code(kind) is ExitCode.OUTCOME_UNKNOWN) is may_have_run
        if find_exit_code(kind) is ExitCode.REFUSED:
            assert (ANSWERS[kind].outcome, ANSWERS[kind].retry) == (
                Outcome.NOT_RUN,
                RetryAdvice.BACKOFF,
            )


class TestStream:
    def _read(self, data):
        texts = []
        reader = CompletionReader(texts.append)
        parser = EventParser(reader.handle_event)
        for index in range(len(data)):
            parser.feed(data[index : index + 1])
        return reader, texts

    def test_chunks_are_joined(self):
        """Guards against text lost when a body chunk ends within a line or character."""
        event = json.dumps({"choices": [{"text": "天光 "}]}, ensure_ascii=False)
        reader, texts = self._read(f"data: {event}\r\n\r\ndata: [DONE]\n\n".encode())
        assert (texts, reader.finished, reader.failure) == (["天光 "], True, None)

    def test_error_event_is_a_failure(self):
        """Guards against an error event without its request id, or counted as a complete stream."""
        document = b'{"kind": "deadline_exceeded", "detail": "late", "request_id": "r7"}'
        reader, _ = self._read(b"event: error\ndata: " + document + b"\n\n")
        assert reader.failure.kind is ErrorKind.DEADLINE_EXCEEDED
        assert reader.failure.detail == "late (request r7)"
        assert not reader.finished
