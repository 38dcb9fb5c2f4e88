"""Tests of invalid input against real daemons.

Each input must produce one clear error and must not affect anything else.
"""

import asyncio
import json
import socket

import pytest
from websockets.asyncio.client import connect

from laburnumrock.messages import MAX_FRAME_BYTES
from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment
from laburnumrock.transport._handshake import authenticate_peer

PLAN = DeploymentPlan(
    failure_domains=("a",), instances=2, voters=1, engines=1, has_balancer=False, seed=7
)
ACCOUNT = {"X-Client-Account": "acme"}
TEMPLATE = {
    "type": "template",
    "client_account": "acme",
    "model": "quote",
    "limits": {"requests_per_s": 500.0, "tokens_per_s": 1e7, "concurrency": 500},
    "deadlines": {"short_s": 15.0, "medium_s": 30.0, "long_s": 60.0},
    "max_output_tokens": 100,
}
SERVICE = {
    "type": "service",
    "name": "orders",
    "paths": [{"path": "place", "repeatable": False}],
    "timeout_s": 5.0,
}
VALID_BODY = {"prompt": "two skylights", "max_tokens": 3}
TIMEOUT_S = 5.0


class Target:
    """A running deployment; `check` asserts that it still serves and that no process ended."""

    def __init__(self, group):
        self.group = group
        self.deployment = group.deployment
        self.instance = self.deployment.instances["a-1"]
        self.url = self.instance.url
        self.pids = {name: process.process.pid for name, process in group.processes.items()}

    def declare(self):
        changes = [
            {"action": "put", "declaration": declaration} for declaration in (TEMPLATE, SERVICE)
        ]
        body = {"request_id": "r-1", "base_revision": 0, "changes": changes}
        assert self.deployment.call_operator_api("changes", body).status == 200
        self.group.wait_for(self.serves, 10.0, "the first answer")

    def complete(self, body=VALID_BODY, headers=ACCOUNT):
        return request_json(f"{self.url}/v1/completions", body, headers=headers)

    def serves(self):
        answer = self.complete()
        return answer.status == 200 and len(answer.json()["choices"][0]["text"].split()) == 3

    def check(self):
        assert self.serves()
        for name, process in self.group.processes.items():
            assert process.is_running, name
            assert process.process.pid == self.pids[name]
            assert "Traceback" not in process.read_log(), name

    def send_raw(self, data, port=None, half_close=False):
        """Send bytes and return the response until the daemon closes, b"" after a reset."""
        address = ("127.0.0.1", port or self.instance.caller_port)
        with socket.create_connection(address, TIMEOUT_S) as connection:
            connection.settimeout(TIMEOUT_S)
            try:
                connection.sendall(data)
                if half_close:
                    connection.shutdown(socket.SHUT_WR)
                received = b""
                while chunk := connection.recv(65_536):
                    received += chunk
            except ConnectionError:
                return b""
            return received

    def count_executions(self):
        counts = [request_json(f"{url}/executions") for url in self.deployment.application_urls]
        return sum(answer.json()["calls"] for answer in counts)

    def link(self, key, frames):
        """Connect as peer ``a-2``, send frames and return whether the handshake succeeded."""

        async def run():
            url = f"ws://127.0.0.1:{self.instance.peer_port}"
            # Not used as a context manager: its exit would abort the transport that the daemon has
            # closed, which fails in asyncio if a frame was still being written.
            connection = await connect(url, proxy=None)
            async with asyncio.timeout(TIMEOUT_S):
                try:
                    proved = await authenticate_peer(connection, key, "a-2")
                    for frame in frames:
                        await connection.send(frame)
                finally:
                    await connection.wait_closed()
            return proved.is_ok()

        return asyncio.run(run())


@pytest.fixture(scope="class")
def target():
    with run_deployment(PLAN) as group:
        running = Target(group)
        running.declare()
        yield running


def assert_problem(answer, status, kind, field_path=None):
    """Check for a problem document with the error kind, the invalid field and a request id."""
    assert answer.status == status
    assert answer.headers["content-type"] == "application/problem+json"
    document = answer.json()
    assert (document["kind"], document["status"]) == (kind, status)
    assert document.get("field_path") == field_path
    assert document["outcome"] == "not_run"
    assert document["request_id"]


@pytest.mark.processes
class TestBadInput:
    @pytest.mark.parametrize(
        ("change", "field_path"),
        [
            ({"max_token": 3}, "max_token"),
            ({"max_tokens": "3"}, "max_tokens"),
            ({"max_tokens": 10**30}, "max_tokens"),
            ({"prompt": None}, "prompt"),
            ({"prompt": " \n"}, "prompt"),
        ],
    )
    def test_fields(self, target, change, field_path):
        """A misspelled or wrongly typed field must not be ignored or cause status 500."""
        assert_problem(target.complete(VALID_BODY | change), 400, "invalid_request", field_path)
        target.check()

    @pytest.mark.parametrize("timeout", ["5m", "-1", "nan", "0"])
    def test_wrong_unit_of_the_deadline(self, target, timeout):
        """A deadline with a unit, or an invalid one, must not be read as another duration."""
        answer = target.complete(headers=ACCOUNT | {"X-Timeout-S": timeout})
        assert_problem(answer, 400, "invalid_request", "X-Timeout-S")

    def test_unknown_account_and_wrong_operator_key(self, target):
        """Accounts without a template and operators without the key must be rejected."""
        answer = target.complete(headers={"X-Client-Account": "nobody"})
        assert_problem(answer, 403, "unknown_client_account", "X-Client-Account")
        url = f"{target.url}/operator/v1/changes"
        answer = request_json(url, {}, headers={"Authorization": "Bearer wrong"})
        assert_problem(answer, 401, "unauthenticated")
        target.check()

    def test_prompt_beyond_the_fleet(self, target):
        """A prompt that exceeds the capacity of every upstream must not be queued or retried."""
        answer = target.complete({"prompt": "w " * 500_000, "max_tokens": 3})
        assert_problem(answer, 413, "prompt_too_long")
        target.check()

    def test_oversized_bodies(self, target):
        """An oversized body must not be buffered in memory or crash the process."""
        answer = target.complete({"prompt": "w" * (17 * 1024 * 1024)})
        assert_problem(answer, 413, "body_too_large")
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999999\r\n\r\n"
        assert target.send_raw(head).startswith((b"HTTP/1.1 4", b""))
        target.check()

    @pytest.mark.parametrize(
        "data",
        [b"\x00\xff\x16\x03\x01garbage\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"A" * 100_000],
    )
    def test_garbage_on_the_http_port(self, target, data):
        """Invalid bytes must not crash the process or keep a connection open indefinitely."""
        assert target.send_raw(data, half_close=True) in (b"", b"HTTP/1.1 400 Bad Request\r\n\r\n")
        target.check()

    def test_body_that_is_cut_off(self, target):
        """A service call with a truncated body must not be executed."""
        before = target.count_executions()
        headers = "X-Client-Account: acme\r\nIdempotency-Key: cut-1\r\nContent-Length: 100"
        head = f"POST /v1/services/orders/place HTTP/1.1\r\nHost: x\r\n{headers}\r\n\r\n"
        assert target.send_raw(head.encode() + b'{"units"', half_close=True) == b""
        target.check()
        assert target.count_executions() == before
        url = f"{target.url}/v1/services/orders/place"
        answer = request_json(url, {"units": 2}, headers=ACCOUNT | {"Idempotency-Key": "cut-1"})
        assert answer.status == 200
        assert "idempotent-replay" not in answer.headers
        assert target.count_executions() == before + 1

    def test_wrong_shared_key(self, target):
        """An instance without the shared key must not be able to join."""
        assert not target.link(b"another key of enough bytes", [])
        assert "peer_refused" in target.group.read_log("a-1")
        target.check()

    def test_malformed_frames(self, target):
        """A malformed frame must close only its own connection, not crash the process."""
        key = target.deployment.shared_key_file.read_bytes()
        for frame in (b"\xff\xff\xff", b"\xa1\x61v\x01", b"", b"\x9f" * 10_000, b"text"):
            assert target.link(key, [frame])
        assert target.link(key, [bytes(MAX_FRAME_BYTES + 1)])

        def is_logged():
            return target.group.read_log("a-1").count("malformed_message") >= 5

        target.group.wait_for(is_logged, 2.0, "a log line for each malformed frame")
        port = target.instance.peer_port
        assert b"101" not in target.send_raw(b"\x00\xff\r\n\r\n", port, half_close=True)
        target.check()

    def test_bad_changes_leave_the_declarations_alone(self, target):
        """A set of changes with an invalid declaration must not be applied partially."""
        before = target.deployment.call_operator_api("declarations").json()
        faulty = TEMPLATE | {"client_account": "x", "limits": {"requests_per_min": 5}}
        for declaration in (faulty, TEMPLATE | {"max_output_tokens": -1}, {"type": "unknown"}):
            changes = [{"action": "remove", "key": "template/acme"}]
            changes.append({"action": "put", "declaration": declaration})
            body = {"request_id": "r-2", "base_revision": before["revision"], "changes": changes}
            answer = target.deployment.call_operator_api("changes", json.loads(json.dumps(body)))
            assert (answer.status, answer.json()["kind"]) == (400, "invalid_declaration")
        assert target.deployment.call_operator_api("declarations").json() == before
        target.check()
