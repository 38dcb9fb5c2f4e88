"""Tests of the fault-injecting proxy that the randomized soak test uses."""

import asyncio
import contextlib

import pytest

from laburnumrock.standins import FaultyProxy
from laburnumrock.standins.tests._servers import find_port

HOST = "127.0.0.1"
RESPONSE_TIMEOUT_S = 5.0
PAUSE_S = 0.2


async def _serve_lines(reader, writer):
    with contextlib.suppress(OSError):
        while line := await reader.readline():
            writer.write(b"answer " + line)
    writer.close()


@contextlib.asynccontextmanager
async def _open_proxy():
    target = await asyncio.start_server(_serve_lines, HOST, 0)
    proxy = FaultyProxy(HOST, find_port(), target.sockets[0].getsockname()[1])
    await proxy.start()
    try:
        yield proxy
    finally:
        proxy.close()
        target.close()


async def _send_line(connection, line):
    reader, writer = connection
    writer.write(line)
    return await asyncio.wait_for(reader.readline(), RESPONSE_TIMEOUT_S)


class TestFaults:
    def test_healed_connection_goes_on(self):
        async def check():
            async with _open_proxy() as proxy:
                connection = await asyncio.open_connection(HOST, proxy.port)
                assert await _send_line(connection, b"1\n") == b"answer 1\n"
                proxy.pause_forwarding(one_way=False)
                waiting = asyncio.create_task(_send_line(connection, b"2\n"))
                await asyncio.sleep(PAUSE_S)
                assert not waiting.done()
                proxy.heal()
                assert await waiting == b"answer 2\n"

        asyncio.run(check())

    def test_abandoned_connection_stays_silent(self):
        async def check():
            async with _open_proxy() as proxy:
                old = await asyncio.open_connection(HOST, proxy.port)
                assert await _send_line(old, b"1\n") == b"answer 1\n"
                proxy.abandon()
                new = await asyncio.open_connection(HOST, proxy.port)
                assert await _send_line(new, b"2\n") == b"answer 2\n"
                waiting = asyncio.create_task(_send_line(old, b"3\n"))
                await asyncio.sleep(PAUSE_S)
                assert not waiting.done()
                waiting.cancel()

        asyncio.run(check())

    def test_reset_breaks_connections(self):
        async def check():
            async with _open_proxy() as proxy:
                connection = await asyncio.open_connection(HOST, proxy.port)
                assert await _send_line(connection, b"1\n") == b"answer 1\n"
                proxy.reset()
                with pytest.raises(ConnectionResetError):
                    await _send_line(connection, b"2\n")

        asyncio.run(check())

    def test_end_of_run_during_silence_prints_no_traceback(self):
        # Guards against a traceback on standard error, which looks like a failure of the soak test.
        reported = []

        async def check():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context["message"]))
            before = asyncio.all_tasks()
            async with _open_proxy() as proxy:
                proxy.pause_forwarding(one_way=False)
                await asyncio.open_connection(HOST, proxy.port)
                await asyncio.sleep(PAUSE_S)
                served = asyncio.all_tasks() - before
                assert served
                for task in served:
                    task.cancel()
                await asyncio.wait(served)

        asyncio.run(check())
        assert reported == []


class TestReset:
    def test_both_sides_see_a_reset(self):
        """Guards against a cut response without a length that looks like a whole one."""

        async def run():
            accepted = asyncio.Queue()

            async def serve(reader, writer):
                writer.write(b"part")
                await writer.drain()
                accepted.put_nowait(reader)

            server = await asyncio.start_server(serve, HOST, 0)
            proxy = FaultyProxy(HOST, 0, server.sockets[0].getsockname()[1])
            await proxy.start()
            port = proxy.server.sockets[0].getsockname()[1]
            reader, _ = await asyncio.open_connection(HOST, port)
            assert await reader.readexactly(4) == b"part"
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.read()
            with pytest.raises(ConnectionResetError):
                await (await accepted.get()).read()
            proxy.close()
            server.close()

        asyncio.run(run())
