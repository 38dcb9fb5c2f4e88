"""Headers and orders of the platform."""

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
        """Guards against a header that is read under another meaning."""
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
        """Guards against an exception other than the one that answers 400."""
        with pytest.raises(ValueError):
            decode(**headers)

    def test_other_schemes_are_no_key(self):
        """Guards against the password of another scheme being taken for a key."""
        assert decode(Authorization="Basic abc").key is None

    def test_headers_of_one_connection_stay(self):
        """Guards against headers that concern only the caller's connection."""
        request = decode(Connection="close, X-Hop", X_Hop="1", Te="trailers", X_Kept="2")
        headers = WIRE.encode_request(request, SendMetadata("u1", None, 1.0))
        assert "X-Hop" not in headers and "Te" not in headers and "Connection" not in headers
        assert headers["X-Kept"] == "2"

    def test_helpers(self):
        """Guards against helpers whose reservations are lost."""
        helpers = [("10.0.0.1", 80, "t1"), ("10.0.0.2", 81, "")]
        headers = WIRE.encode_request(decode(), SendMetadata("u1", None, 1.0, None, helpers))
        assert headers["Helpers"] == "10.0.0.1:80/t1,10.0.0.2:81"

    def test_empty_body_has_a_length(self):
        """Guards against a POST without a length, whose end an engine cannot find."""
        headers = WIRE.encode_request(decode(), SendMetadata("u1", None, 1.0))
        assert headers["Content-Length"] == "0"


class TestAnswers:
    def test_promises(self):
        """Guards against a promise where the engine gave none."""
        assert WIRE.decode_response(503, HTTPHeaders({"Not-Executed": "1"})).proves_not_run
        assert not WIRE.decode_response(503, HTTPHeaders()).proves_not_run
        assert WIRE.decode_response(421, HTTPHeaders()).proves_not_run

    def test_own_failures(self):
        """Guards against a failure without the time to come back."""
        headers = WIRE.encode_error("r1", 1.25)
        assert (headers["Request-Id"], headers["Retry-After"]) == ("r1", "1.25")
        assert "Retry-After" not in WIRE.encode_error("r1", 0.0)


class TestOrders:
    def test_reservation(self):
        """Guards against an order that engines answer 400."""
        order = json.loads(WIRE.encode_reservation("t1", 60_000, 3.2).body)
        expected = {"op": "reserve", "id": "t1", "token_count": 60_000, "hold_ms": 3200}
        assert order == expected
        assert json.loads(WIRE.encode_release("t1").body) == {"op": "release", "id": "t1"}
