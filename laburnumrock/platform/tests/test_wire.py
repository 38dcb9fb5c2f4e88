"""Tests of the platform's HTTP headers and engine orders."""

import json

import pytest
from tornado.httputil import HTTPHeaders

from laburnumrock.forwarding import SendMetadata
from laburnumrock.platform._wire import PlatformWire

WIRE = PlatformWire()


def decode(**headers: str):
    values = {name.replace("_", "-"): value for name, value in headers.items()}
    return WIRE.decode_request("POST", "/x/y", HTTPHeaders({"Host": "a.example", **values}))


class TestRequests:
    def test_decoded_fields(self):
        """Guards against a header that is decoded into the wrong attribute."""
        request = decode(
            Request_Id="r1",
            Deadline_Ms="10018",
            Token_Usage="1460,80",
            Last_Event_Id="12",
            Authorization="Token key",
        )
        assert request.remaining_s == 10.018
        assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
        assert (request.last_event_id, request.key) == ("12", "key")

    @pytest.mark.parametrize(
        "headers", [{"Token_Usage": "a,b"}, {"Token_Usage": "5"}, {"Deadline_Ms": "soon"}]
    )
    def test_unreadable_headers(self, headers):
        """Guards against an exception that is not turned into status 400."""
        with pytest.raises(ValueError):
            decode(**headers)

    @pytest.mark.parametrize(
        "prefix, parts",
        [
            ("5c1e07a2:800,91BD3F06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            ("e4402b7d:250", ()),
            ("", ()),
            (",, 5c1e07a2:800 ,:5,e4402b7d", ("5c1e07a2",)),
            ("a:1," * 3_000, ("a",) * 128),
            (f"{'b' * 9_000}:1,c", ("b" * 64,)),
        ],
    )
    def test_shared_parts(self, prefix, parts):
        """Guards against logs that do not show which parts the broken requests have in common."""
        assert decode(Prefix_Hash=prefix).shared_parts == parts
        assert decode().shared_parts == ()

    def test_other_schemes_give_no_key(self):
        """Guards against credentials of another scheme that are used as an API key."""
        assert decode(Authorization="Basic abc").key is None

    def test_hop_by_hop_headers_are_removed(self):
        """Guards against hop-by-hop headers of the caller's connection that reach an engine."""
        request = decode(Connection="close, X-Hop", X_Hop="1", Te="trailers", X_Kept="2")
        headers = WIRE.encode_request(request, SendMetadata("u1", None, 1.0))
        assert "X-Hop" not in headers and "Te" not in headers and "Connection" not in headers
        assert headers["X-Kept"] == "2"

    def test_helpers(self):
        """Guards against helper engines that are sent without their reservations."""
        helpers = [("10.0.0.1", 80, "t1"), ("10.0.0.2", 81, "")]
        headers = WIRE.encode_request(decode(), SendMetadata("u1", None, 1.0, None, helpers))
        assert headers["Helpers"] == "10.0.0.1:80/t1,10.0.0.2:81"

    def test_empty_body_has_a_length(self):
        """Guards against a POST without Content-Length, whose end an engine cannot determine."""
        headers = WIRE.encode_request(decode(), SendMetadata("u1", None, 1.0))
        assert headers["Content-Length"] == "0"


class TestResponses:
    def test_not_executed(self):
        """Guards against a response taken as proof of non-execution that does not state it."""
        assert WIRE.decode_response(503, HTTPHeaders({"Not-Executed": "1"})).proves_not_run
        assert not WIRE.decode_response(503, HTTPHeaders()).proves_not_run
        assert WIRE.decode_response(421, HTTPHeaders()).proves_not_run

    @pytest.mark.parametrize(
        "value, limit",
        [
            ("1", 1.0),
            ("0", 0.0),
            ("2.50", 2.5),
            (" 7 ", 7.0),
            ("", None),
            ("nan", None),
            ("inf", None),
            ("-1", None),
            ("1,2", None),
            ("soon", None),
        ],
    )
    def test_stated_limit(self, value, limit):
        """Guards against logs that do not show how many requests an engine takes."""
        metadata = WIRE.decode_response(200, HTTPHeaders({"Server-Limit": value}))
        assert (metadata.states_limit, metadata.max_requests_per_s) == (True, limit)
        assert not WIRE.decode_response(200, HTTPHeaders()).states_limit

    def test_error_headers(self):
        """Guards against an error response without Retry-After."""
        headers = WIRE.encode_error("r1", 1.25)
        assert (headers["Request-Id"], headers["Retry-After"]) == ("r1", "1.25")
        assert "Retry-After" not in WIRE.encode_error("r1", 0.0)


class TestOrders:
    def test_reservation(self):
        """Guards against an order that engines reject with status 400."""
        order = json.loads(WIRE.encode_reservation("t1", 60_000, 3.2).body)
        expected = {"op": "reserve", "id": "t1", "token_count": 60_000, "hold_ms": 3200}
        assert order == expected
        assert json.loads(WIRE.encode_release("t1").body) == {"op": "release", "id": "t1"}


class TestStatements:
    @pytest.mark.parametrize(
        "status, headers, leaving, refusal_s",
        [
            (200, {"Server-Leaving": "1"}, True, 0.0),
            (503, {"Server-Leaving": " 1 ", "Retry-After": "4"}, True, 4.0),
            (503, {"Retry-After": "0.25"}, False, 0.25),
            (200, {"Retry-After": "4"}, False, 0.0),
            (429, {"Retry-After": "4"}, False, 0.0),
            (200, {}, False, 0.0),
            (200, {"Server-Leaving": "0"}, False, 0.0),
        ],
    )
    def test_values(self, status, headers, leaving, refusal_s):
        """Guards against an upstream that gets requests which it has declined."""
        facts = WIRE.decode_response(status, HTTPHeaders(headers))
        assert (facts.is_leaving, facts.refusal_s) == (leaving, refusal_s)

    @pytest.mark.parametrize(
        "value",
        [
            "nan",
            "-1",
            "inf",
            "1e999",
            "",
            "3, 5",
            "0x10",
            "Sat, 05 Dec 2026 22:00:00 GMT",
            "9" * 999,
        ],
    )
    def test_unreadable_values(self, value):
        """Guards against a value that bars an upstream for ever, or fails its response."""
        facts = WIRE.decode_response(503, HTTPHeaders({"Retry-After": value}))
        assert facts.refusal_s == 0.0
        assert not WIRE.decode_response(200, HTTPHeaders({"Server-Leaving": value})).is_leaving

    def test_two_headers_with_different_values(self):
        """Guards against a statement that is taken from one of several headers."""
        headers = HTTPHeaders()
        for value in ("3", "500"):
            headers.add("Retry-After", value)
        assert WIRE.decode_response(503, headers).refusal_s == 0.0
