"""Tests of the load generator."""

import asyncio
import io
import json
from pathlib import Path

import pytest
from click.testing import CliRunner
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

import laburnumrock
from laburnumrock.scenarios import find_free_ports
from laburnumrock.standins import hash_prompt, read_report, report_command, token_text
from laburnumrock.standins._load import run_load
from laburnumrock.standins._load_calls import CallRecord, LoadClient, StreamValidator
from laburnumrock.standins._load_profile import LoadProfile, load_profile, plan_calls
from laburnumrock.standins._load_report import percentile, summarize

HOST = "127.0.0.1"


def make_record(**fields):
    record = CallRecord(0, "service", "orders", "a", "c", 0.0, 10.0, operation_id="op")
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def make_event(text):
    return f"data: {json.dumps({'choices': [{'text': text}]})}\n\n".encode()


class TestPlan:
    def test_same_seed_same_plan_and_one_in_fifty_is_long(self):
        """Guards against irreproducible load plans and changes of the default mix."""
        profile = LoadProfile()
        calls = plan_calls(profile, 500.0, 20.0, 7)
        assert calls == plan_calls(profile, 500.0, 20.0, 7)
        fraction = sum(call.prompt_tokens > 100_000 for call in calls) / len(calls)
        assert 0.015 < fraction < 0.025
        assert min(call.prompt_tokens for call in calls) >= 1_000

    def test_prompt_has_exact_length_and_is_unique(self):
        """Guards against prompts of the wrong length and prompts with equal hashes."""
        client = LoadClient("http://127.0.0.1:1", LoadProfile(), 3)
        calls = plan_calls(LoadProfile(), 50.0, 2.0, 3)
        prompts = [client.build_prompt(call) for call in calls]
        assert [len(prompt.split()) for prompt in prompts] == [c.prompt_tokens for c in calls]
        assert len({hash_prompt(prompt) for prompt in prompts}) == len(calls)

    def test_example_profile_is_valid(self):
        """Guards against an example file that no longer matches the profile schema."""
        file = Path(laburnumrock.__file__).parents[1] / "examples" / "load_profile.json"
        calls = plan_calls(load_profile(file), 100.0, 10.0, 1)
        assert {call.account.name for call in calls} == {"skylight", "archives", "survey"}
        assert any(call.service for call in calls)

    def test_resent_operations_share_their_key(self):
        """Guards against a resend without the idempotency key of the first call."""
        services = [{"service": "orders", "path": "place"}]
        profile = LoadProfile(services=services, service_share=1.0, resend_share=1.0)
        calls = plan_calls(profile, 20.0, 2.0, 1)
        assert len(calls) == 2 * len({call.operation_id for call in calls})


class TestStreamCheck:
    @pytest.mark.parametrize(
        ("texts", "ending", "result", "fault"),
        [
            (["h-0 ", "h-1 h-2 "], b"data: [DONE]\n\n", "completed", None),
            (["h-0 ", "h-1 "], b"data: [DONE]\n\n", "completed", "incomplete"),
            (["h-0 ", "h-2 ", "h-1 "], b"data: [DONE]\n\n", "completed", "out_of_order"),
            (["h-0 ", "x-1 ", "h-2 "], b"data: [DONE]\n\n", "completed", "foreign_text"),
            (["h-0 ", "h-1 ", "h-2 "], b"", "broken", None),
            (["h-0 "], b'event: error\ndata: {"kind": "upstream_failed"}\n\n', "failed", None),
        ],
    )
    def test_verdicts(self, texts, ending, result, fault):
        """Guards against undetected incomplete, foreign or reordered responses."""
        record = make_record()
        validator = StreamValidator(record, "h", 3)
        data = b"".join(make_event(text) for text in texts) + ending
        for index in range(0, len(data), 7):
            validator.receive(data[index : index + 7], index / 1_000)
        validator.finish()
        assert (record.result, record.fault) == (result, fault)


class TestReport:
    def test_percentile_is_a_measured_value(self):
        """Guards against percentiles that are off by one rank."""
        values = [float(value) for value in range(1, 101)]
        assert [percentile(values, p) for p in (50, 95, 99)] == [50.0, 95.0, 99.0]
        assert percentile([], 95) is None

    @pytest.mark.parametrize(
        ("fields", "count", "expected"),
        [
            ([{"result": "refused", "outcome": "not_run"}], 1, ("wrong_refusals",)),
            ([{"result": "refused", "outcome": "not_run"}], 0, ()),
            ([{"result": "refused", "outcome": "unknown"}], 1, ()),
            ([{"result": "completed"}], 0, ("lost",)),
            ([{"result": "completed"}, {"outcome": "not_run"}], 1, ()),
            ([{"result": "completed"}], 2, ("run_twice",)),
        ],
    )
    def test_operations(self, fields, count, expected):
        """Guards against undetected duplicate executions, lost operations and false ``not_run``."""
        records = [make_record(**members) for members in fields]
        report = summarize(records, {"op": count})
        names = ("wrong_refusals", "run_twice", "lost")
        assert tuple(name for name in names if getattr(report, name)) == expected
        assert report.is_clean == (not expected)

    def test_late_answer_is_a_deadline_miss(self):
        """Guards against late responses that are not counted as deadline misses."""
        late = make_record(result="completed", total_s=10.1)
        in_time = make_record(result="refused", error_kind="deadline_unreachable")
        report = summarize([late, in_time], None)
        assert report.classes["orders"].deadline_misses == 1


class GatewayHandler(RequestHandler):
    """Entry instance stub; every fifth completion has the text of another request."""

    count = 0

    async def post(self):
        body = json.loads(self.request.body)
        GatewayHandler.count += 1
        prompt_hash = hash_prompt(body["prompt"] if GatewayHandler.count % 5 else "other")
        for index in range(body["max_tokens"]):
            self.write(make_event(token_text(prompt_hash, index)))
            await self.flush()
        self.finish("data: [DONE]\n\n")


class TestRun:
    def test_load_over_http_finds_foreign_answers(self, tmp_path):
        """Guards against faults that go undetected when responses arrive over HTTP."""

        async def scenario():
            [port] = find_free_ports(1)
            application = Application([("/v1/completions", GatewayHandler)])
            server = HTTPServer(application, max_body_size=10**8, max_buffer_size=10**8)
            server.add_sockets(bind_sockets(port, HOST))
            output = io.StringIO()
            await run_load(f"http://{HOST}:{port}", LoadProfile(), 25.0, 2.0, 1, output, [])
            server.stop()
            return output.getvalue()

        file = tmp_path / "load.jsonl"
        file.write_text(asyncio.run(scenario()))
        report = read_report(file)
        completed = sum(one.completed for one in report.classes.values())
        foreign = sum(one.faults.get("foreign_text", 0) for one in report.classes.values())
        assert completed == GatewayHandler.count > 20
        assert foreign == completed // 5
        printed = CliRunner().invoke(report_command, [str(file)])
        assert f"foreign_text {foreign}" in printed.output
        as_json = CliRunner().invoke(report_command, [str(file), "--json"])
        assert json.loads(as_json.output)["classes"]["short"]["completed"] > 0
