"""Tests of the HTTP calls from a pool owner to its engines."""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from laburnumrock.daemon._engine_calls import EngineCalls


class _CancelHandler(RequestHandler):
    def post(self):
        self.application.settings["cancels"].append(self.request.body)
        self.set_status(500 if len(self.application.settings["cancels"]) == 1 else 200)


class _LoadHandler(RequestHandler):
    def get(self):
        self.finish(self.application.settings["load"])


async def _run_with_engine(load, use):
    settings = {"load": load, "cancels": []}
    handlers = [("/v1/cancel", _CancelHandler), ("/v1/load", _LoadHandler)]
    server = HTTPServer(Application(handlers, log_function=lambda handler: None, **settings))
    socket, port = bind_unused_port()
    server.add_socket(socket)
    calls = EngineCalls(1.0)
    try:
        return await use(calls, f"http://127.0.0.1:{port}")
    finally:
        await calls.stop()
        server.stop()


class TestEngineCalls:
    def test_failed_cancel_is_not_confirmed(self):
        """KV memory must not count as free if the engine did not confirm the cancellation."""

        async def use(calls, url):
            return [await calls.cancel(url, "r1"), await calls.cancel(url, "r1")]

        assert asyncio.run(_run_with_engine({}, use)) == [False, True]

    def test_unreachable_engine_is_not_confirmed(self):
        """A dead engine must cause neither an exception nor a confirmation."""

        async def run():
            calls = EngineCalls(0.5)
            answers = [await calls.cancel(url, "r1") for url in ("http://127.0.0.1:1", "x:")]
            await calls.stop()
            return answers

        assert asyncio.run(run()) == [False, False]

    def test_waiting_requests_count_as_held(self):
        """A request queued in the engine must not count as finished."""
        load = {"holdings": [{"request_id": "r1", "tokens": 7}], "waiting_requests": ["r2"]}

        async def use(calls, url):
            return await calls.read_held_tokens(url)

        assert asyncio.run(_run_with_engine(load, use)).unwrap() == {"r1": 7, "r2": 0}

    def test_malformed_load_is_an_error(self):
        """A malformed list must not be read as an idle engine."""

        async def use(calls, url):
            return await calls.read_held_tokens(url)

        assert asyncio.run(_run_with_engine({"holdings": [{}]}, use)).is_err()
        assert asyncio.run(_run_with_engine({"other": 1}, use)).is_err()
