"""Tests of the human-readable output of the status and of operations."""

from laburnumrock.cli._render import describe_operation, describe_status

LOAD = {
    "in_service": False,
    "upstreams": 7,
    "queued": 2,
    "free_kv_tokens": 3_150_000,
    "expected_wait_s": {"short": 0.25},
}


class TestStatus:
    def test_pools_are_lines(self):
        """Guards against nested data on one line, and holds shown after they entered the log."""
        pools = {"fd-1/model/m": {"owner": "fd-1-3", "load": LOAD}}
        pools["fd-2/model/m"] = {"owner": None, "load": None}
        holds = [{"failure_domain": "fd-1", "entered_revision": None}]
        holds.append({"failure_domain": "fd-2", "entered_revision": 14})
        lines = describe_status({"pools": pools, "holds": holds, "stale": True, "voters": None})
        assert "stale, never confirmed" in "\n".join(lines)
        assert "holds:            fd-1" in lines
        shown = "fd-1/model/m fd-1-3 no 7 2 3,150,000 0.2 s"
        assert " ".join(lines[-2].split()) == shown
        assert lines[-1].split()[:2] == ["fd-2/model/m", "none"]
        assert not any("{" in line for line in lines)


class TestOperation:
    def test_answer_and_source(self):
        """Guards against a reconciled operation that is shown without its source."""
        answer = {"status": 200, "body": "booked", "body_omitted": False}
        document = {"state": "done", "age_s": 61.2, "source": "chen: ledger", "answer": answer}
        lines = describe_operation("acme", "k1", document)
        assert lines[2:4] == ["age:       0:01:01", "source:    chen: ledger"]
        assert lines[-2:] == ["answer:    status 200", "booked"]
