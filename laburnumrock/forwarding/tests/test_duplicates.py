"""Upstreams that send a second copy of an answer on a connection that may be in use again."""

import asyncio
import random

import pytest

from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    make_head,
    make_request,
    open_frontend,
    read_response,
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
