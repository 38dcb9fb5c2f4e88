"""Upstreams that send a second copy of an answer on a connection that may be in use again."""

import asyncio
import random

import pytest

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    make_head,
    make_request,
    open_frontend,
    read_response,
    respond_raw,
)

SCHEDULES_PER_TEST = 40
REQUESTS = 6
MAX_DELAY_S = 0.06
CONCURRENT_SCHEDULES = 10


class DuplicatingUpstream:
    """Script that answers each request and then repeats the answer, whole or in part.

    Parameters
    ----------
    rng : random.Random
        Chooses framing, delay and form of each copy.
    stream : bool
        Whether the answers are streams of events.
    """

    def __init__(self, rng: random.Random, stream: bool) -> None:
        self.rng = rng
        self.stream = stream
        self.tasks = set()

    async def __call__(self, reader, writer, received) -> None:
        response = self.encode(received)
        writer.write(response)
        await writer.drain()
        copy = self.make_copy(response, received)
        delay_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_DELAY_S)))
        if delay_s == 0.0:
            writer.write(copy)
            return
        task = asyncio.create_task(self.send_later(writer, copy, delay_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_later(self, writer, copy: bytes, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if not writer.is_closing():
            writer.write(copy)

    def encode(self, received) -> bytes:
        body = f"answer to {received.headers['Request-Id']}".encode()
        if self.stream:
            head = make_head(200, received, True, None, {"Content-Type": "text/event-stream"})
            events = [b"id: %d\ndata: %s\n\n" % (number, body) for number in (1, 2)]
            return head + b"".join(map(encode_chunk, events)) + b"0\r\n\r\n"
        if self.rng.random() < 0.5:
            return make_head(200, received, True, len(body), {}) + body
        return make_head(200, received, True, None, {}) + encode_chunk(body) + b"0\r\n\r\n"

    def make_copy(self, response: bytes, received) -> bytes:
        form = self.rng.choice(("whole", "part", "twice", "other id", "trailing", "408", "interim"))
        if form == "part":
            return response[: self.rng.randrange(1, len(response))]
        if form == "twice":
            return 2 * response
        if form == "other id":
            return response.replace(received.headers["Request-Id"].encode(), b"unknown")
        if form == "trailing":
            return b"trailing bytes\r\n"
        if form == "408":
            return b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        if form == "interim":
            return b"HTTP/1.1 100 Continue\r\n\r\n" + response
        return response


def encode_chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def run_schedule(seed: int, stream: bool) -> int:
    """Send requests one after the other; return how many got their own whole answer."""
    rng = random.Random(seed)
    upstream = ScriptedUpstream(DuplicatingUpstream(rng, stream))
    path = "/s/x" if stream else rng.choice(("/r/x", "/once/x"))
    whole = 0
    async with open_frontend(upstream) as frontend:
        reader, writer = await frontend.connect()
        for number in range(REQUESTS):
            name = f"{seed}-{number}"
            writer.write(make_request(path, "POST", b"{}", {"Request-Id": name}))
            response = await asyncio.wait_for(read_response(reader), 5.0)
            own = f"answer to {name}".encode()
            assert response.body.count(b"answer to") == response.body.count(own), (seed, number)
            assert response.headers.get("Request-Id") == name, (seed, number)
            if response.status == 200 and response.complete:
                assert response.body.count(own) == (2 if stream else 1), (seed, number)
                whole += 1
            if not response.complete:
                reader, writer = await frontend.connect()
            await asyncio.sleep(rng.choice((0.0, 0.0, rng.uniform(0.0, MAX_DELAY_S))))
    return whole


class TestSecondCopies:
    @pytest.mark.parametrize("stream", [False, True])
    @pytest.mark.parametrize("first_seed", range(0, 5 * SCHEDULES_PER_TEST, SCHEDULES_PER_TEST))
    def test_no_caller_gets_the_answer_to_another_request(self, first_seed, stream):
        """Guards against a late second copy of an answer that is taken for the answer to the next
        request on its connection.
        """

        async def run():
            free = asyncio.Semaphore(CONCURRENT_SCHEDULES)

            async def run_one(seed: int) -> int:
                async with free:
                    return await run_schedule(seed, stream)

            seeds = range(first_seed, first_seed + SCHEDULES_PER_TEST)
            whole = sum(await asyncio.gather(*(run_one(seed) for seed in seeds)))
            # Copies that arrive while the next request is under way may fail that request.
            assert whole >= 0.5 * SCHEDULES_PER_TEST * REQUESTS

        asyncio.run(run())


def refuse_then_answer(status: int, copy_id: bool, pause_s: float) -> list:
    """Refuse the first request; for the second one, write the refusal again, then the answer."""
    refusals = []

    async def refuse(reader, writer, received) -> None:
        head = make_head(status, received, False, 0, {"Not-Executed": "1"})
        if not copy_id:
            head = head.replace(f"Request-Id: {received.headers['Request-Id']}\r\n".encode(), b"")
        refusals.append(head)
        writer.write(make_head(status, received, False, 0, {"Not-Executed": "1"}))
        await writer.drain()

    async def repeat_and_run(reader, writer, received) -> None:
        writer.write(refusals[0])
        await writer.drain()
        await asyncio.sleep(pause_s)
        writer.write(make_head(200, received, True, 4, {}) + b"done")
        await writer.drain()

    return [refuse, repeat_and_run]


class TestSecondCopiesOfRefusals:
    """An upstream that writes an earlier refusal again as it begins to run the next request."""

    @pytest.mark.parametrize("pause_s", [0.0, 0.05])
    @pytest.mark.parametrize("copy_id", [True, False])
    @pytest.mark.parametrize("status", [503, 429, 421, 400])
    def test_request_that_runs_is_not_refused(self, status, copy_id, pause_s):
        """Guards against "not run" for a request that an upstream runs."""

        async def run():
            upstream = ScriptedUpstream(*refuse_then_answer(status, copy_id, pause_s))
            async with open_frontend(upstream) as frontend:
                first = await frontend.request("/once/x", Request_Id="r1")
                assert (first.status, first.headers["Request-Id"]) == (503, "r1")
                second = await frontend.request("/once/x", Request_Id="r2")
                # The check for a crash opens a second one.
                assert upstream.connections == (1 if copy_id else 2)
                assert second.status == (200 if copy_id else 502)
                assert len(upstream.received) == 2

        asyncio.run(run())

    @pytest.mark.parametrize("path", ["/r/x", "/s/x"])
    def test_request_that_may_be_repeated(self, path):
        """Guards against a refusal that counts for a request to which it does not belong."""

        async def run():
            upstream = ScriptedUpstream(*refuse_then_answer(503, False, 0.05))
            async with open_frontend(upstream) as frontend:
                await frontend.request("/once/x", Request_Id="r1")
                frontend.dispatcher.outcomes.clear()
                response = await frontend.request(path, Request_Id="r2")
                assert response.status != 503
                assert frontend.dispatcher.outcomes[0] is SendOutcome.BROKEN

        asyncio.run(run())

    def test_first_response_of_a_connection_needs_no_id(self):
        """Guards against a true refusal without an id that is reported as a failure."""

        async def run():
            refusal = respond_raw(
                b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", close=False
            )
            async with open_frontend(ScriptedUpstream(refusal)) as frontend:
                assert (await frontend.request("/once/x")).status == 503

        asyncio.run(run())
