"""Tests of the HTTP handlers of the operator API."""

import json

from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application

from laburnumrock.declarations.tests._builders import drain, plain_template, put
from laburnumrock.gateway._operator import operator_routes
from laburnumrock.gateway.tests._operator_fakes import KEY, make_services

OPERATOR_KEY = KEY.decode()


class TestOperatorApi(AsyncHTTPTestCase):
    def get_app(self):
        self.services = make_services()
        return Application(operator_routes(self.services))

    def send(self, method, path, body=None, key=OPERATOR_KEY):
        response = self.fetch(
            f"/operator/v1/{path}",
            method=method,
            body=body if isinstance(body, (str, bytes)) or body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {key}"},
            allow_nonstandard_methods=True,
        )
        return response.code, json.loads(response.body)

    def change(self, request_id="r1", base=0, changes=None):
        changes = [put(plain_template())] if changes is None else changes
        body = {"request_id": request_id, "base_revision": base, "changes": changes}
        return self.send("POST", "changes", body)

    def test_wrong_key_changes_nothing(self):
        """Guards against changes by a request with a missing, wrong or malformed operator key."""
        for key in ("", "wrong", OPERATOR_KEY + "x", "\xe9"):
            code, problem = self.send("POST", "holds", {"failure_domain": "a"}, key)
            assert (code, problem["kind"]) == (401, "unauthenticated")
        assert self.services.declarations.view.holds.entries() == []

    def test_bad_input_gets_a_problem_document(self):
        """Guards against a traceback, or a change that is applied with invalid parts ignored."""
        change = {"request_id": "r", "base_revision": 0, "changes": [drain("a")]}
        faults = [
            ("{", 400, None),
            (b"\xff\xfe", 400, None),
            ("[" * 100_000, 400, None),
            ([], 400, None),
            (change | {"extra": 1}, 400, "extra"),
            (change | {"base_revision": "0"}, 400, "base_revision"),
            (change | {"base_revision": -1}, 400, "base_revision"),
            (change | {"changes": []}, 400, "changes"),
            (change | {"changes": [{"action": "put"}]}, 400, "changes[0].declaration"),
            (change | {"request_id": "x" * 201}, 400, "request_id"),
            (change | {"request_id": "hold/a/1"}, 400, "request_id"),
            (" " * 3_000_000, 413, None),
        ]
        for body, code, path in faults:
            answer, problem = self.send("POST", "changes", body)
            assert (answer, problem.get("field_path")) == (code, path)
            assert problem["outcome"] == "not_run"
        assert self.services.declarations.commands == []

    def test_race_has_one_winner_and_a_resend_its_answer(self):
        """Guards against two conflicting changes that are both reported as applied."""
        assert self.change("r1")[1]["revision"] == 1
        code, problem = self.change("r2", changes=[drain("a")])
        assert (code, problem["kind"], problem["request_id"]) == (409, "stale_revision", "r2")
        assert self.change("r1")[1] == {"request_id": "r1", "revision": 1, "applied": True}
        assert self.change("r1", changes=[drain("a")])[1]["kind"] == "idempotency_mismatch"

    def test_reading(self):
        """Guards against responses without fields that the command-line tool needs."""
        self.change()
        assert self.send("GET", "declarations")[1]["declarations"][0]["client_account"] == "acme"
        assert self.send("GET", "history")[1]["entries"][0]["command"]["request_id"] == "r1"
        assert self.send("GET", "status")[1]["revision"] == 1
        self.services.declarations.lagging = [["b2"]]
        answer = {"in_force": False, "lagging": ["b2"]}
        assert self.send("GET", "in-force?revision=1")[1] == answer
        for query in ("", "?revision=", "?revision=-1", "?revision=x", "?revision=%FF"):
            assert self.send("GET", "in-force" + query)[0] == 400

    def test_holds_operations_and_voters(self):
        """Guards against a request that is routed to the wrong service or to none."""
        assert self.send("POST", "holds", {"failure_domain": "a"})[1]["held"]
        assert self.send("DELETE", "holds/a")[0] == 200
        assert self.send("DELETE", "holds/a")[0] == 404
        assert self.send("GET", "operations/acme/absent")[0] == 404
        found = self.send("GET", "operations/acme/k")[1]
        assert found["answer"]["body"] == "order 7 \ufffd"
        body = {"outcome": "done", "source": "delivery note"}
        path = "operations/acme/k%2F1/reconcile"
        assert self.send("POST", path, body)[1]["key"] == "k/1"
        assert self.send("POST", path, {"outcome": "maybe", "source": "x"})[0] == 400
        assert self.send("POST", "voters", {"action": "add", "instance_id": "a2"})[0] == 200
        calls = [("acme", "k/1", "done", "delivery note"), ("add", "a2")]
        assert self.services.voters.calls == calls

    def test_unknown_path_and_method(self):
        """Guards against an HTML error page where clients expect JSON."""
        assert self.send("GET", "nothing")[1]["kind"] == "not_found"
        assert self.send("DELETE", "status")[1]["kind"] == "not_found"
