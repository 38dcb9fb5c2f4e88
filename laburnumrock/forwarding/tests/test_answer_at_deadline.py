"""Requests whose time ends at the moment at which their response is complete."""

import asyncio

import pytest

from laburnumrock.forwarding import _http_response
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    make_event,
    make_request,
    open_frontend,
    read_response,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))
UPSTREAMS = {
    "answer": ("/r/x", answer(), b"done"),
    "finish_stream": ("/s/x", stream(1, 4), WHOLE_STREAM),
}


class TestAnswerAtDeadline:
    @pytest.mark.parametrize("method", UPSTREAMS)
    def test_one_response_is_written(self, method, monkeypatch):
        """Guards against an error response that follows a complete one on its connection."""
        path, script, body = UPSTREAMS[method]
        complete = getattr(_http_response.ResponseWriter, method)

        async def run():
            async with open_frontend(ScriptedUpstream(script)) as frontend:

                def complete_at_deadline(writer, *arguments):
                    complete(writer, *arguments)
                    for forwarder in frontend.server.tasks.values():
                        forwarder.end_early()

                monkeypatch.setattr(_http_response.ResponseWriter, method, complete_at_deadline)
                reader, writer = await frontend.connect()
                writer.write(make_request(path, "POST", b"{}", {}))
                response = await read_response(reader)
                assert (response.status, response.body, response.complete) == (200, body, True)
                await frontend.server.finish(1.0)
                writer.write(make_request("/unknown", "POST", b"{}", {"Request_Id": "r2"}))
                assert (await read_response(reader)).status == 404

        asyncio.run(run())
