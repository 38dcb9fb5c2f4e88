"""Tests of the forms of requests and clients on connections whose sending side is closed."""

import asyncio
import http.client
import socket
import struct
import time

import pytest

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding.tests.scripted import (
    HOST,
    ScriptedUpstream,
    hang,
    make_event,
    make_request,
    open_frontend,
    stream,
)
from laburnumrock.forwarding.tests.test_half_closed import (
    MAX_NOTICE_S,
    delayed,
    read_final_response,
)
from laburnumrock.streams._caller_stream import PROBE_INTERVAL_S, CallerStream


class TestFormsOfRequests:
    """Guards against forms of a whole request that get no answer after a half-close."""

    @pytest.mark.parametrize("path", ["/r/x", "/once/x"])
    def test_request_that_expects_100_continue(self, path):
        """Guards against an interim response that is taken for a response that has begun."""

        async def run():
            upstream = ScriptedUpstream(delayed(0.6))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                request = make_request(path, "POST", b"{}", {"Expect": "100-continue"})
                writer.write(request[:-2])
                await reader.readuntil(b"100 (Continue)\r\n\r\n")
                writer.write(request[-2:])
                writer.write_eof()
                async with asyncio.timeout(3.0):
                    response = await read_final_response(reader)
                assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())

    def test_request_after_an_empty_line(self):
        """Guards against a version that is not found, as servers should skip such a line."""

        async def run():
            upstream = ScriptedUpstream(delayed(0.3))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(b"\r\n" + make_request("/r/x", "POST", b"{}", {}))
                writer.write_eof()
                async with asyncio.timeout(3.0):
                    response = await read_final_response(reader)
                assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())

    def test_request_whose_head_is_read_in_parts(self):
        """Guards against a head that arrives with the end of the input, after its first part."""

        async def run():
            upstream = ScriptedUpstream(delayed(0.1))
            async with open_frontend(upstream) as frontend:
                client = socket.create_connection((HOST, frontend.port))
                # More than one read of the stream takes, and less than the largest head.
                client.sendall(make_request("/r/x", "POST", b"{}", {"Large": "x" * 80_000}))
                client.shutdown(socket.SHUT_WR)
                reader, writer = await asyncio.open_connection(sock=client)
                frontend.writers.append(writer)
                async with asyncio.timeout(3.0):
                    response = await read_final_response(reader)
                assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())


class TestClients:
    def test_client_of_the_standard_library(self):
        """Guards against an interim response that widespread clients take for the final one."""

        def call(port):
            client = http.client.HTTPConnection(HOST, port, timeout=3.0)
            headers = {"Request-Id": "r1", "Authorization": "Token k1", "Host": "a.example"}
            client.request("POST", "/once/x", b"{}", headers)
            client.sock.shutdown(socket.SHUT_WR)
            response = client.getresponse()
            return response.status, response.read()

        async def run():
            upstream = ScriptedUpstream(delayed(0.6))
            async with open_frontend(upstream) as frontend:
                assert await asyncio.to_thread(call, frontend.port) == (200, b"done")

        asyncio.run(run())


class TestCallersThatLeave:
    @pytest.mark.parametrize("half_closed_s", [None, 0.5])
    @pytest.mark.parametrize("rest", [b"\r\n", make_request("/r/y", "POST", b"{}", {})])
    def test_bytes_after_the_request_hide_no_close(self, rest, half_closed_s):
        """Guards against work for a caller that leaves, of whose next request bytes were read."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}) + rest)
                while not upstream.received:
                    await asyncio.sleep(0.01)
                if half_closed_s is not None:
                    writer.write_eof()
                    await asyncio.sleep(half_closed_s)
                assert len(upstream.received) == 1
                left_s = time.monotonic()
                writer.close()
                while not frontend.dispatcher.outcomes:
                    await asyncio.sleep(0.01)
                    assert time.monotonic() - left_s < MAX_NOTICE_S
                assert frontend.dispatcher.outcomes == [SendOutcome.CANCELLED]
                assert len(upstream.received) == 1

        asyncio.run(run())

    def test_reset_is_recorded(self):
        """Guards against a reset that the log reports as a mere end of the input."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                [connection] = frontend.server.connections
                writer.close()
                await asyncio.sleep(MAX_NOTICE_S)
                assert frontend.dispatcher.outcomes == [SendOutcome.CANCELLED]
                assert isinstance(connection.stream.error, OSError)

        asyncio.run(run())

    def test_pipelined_requests_are_answered(self):
        """Guards against a second request that is lost, as its input ends during the first one."""

        async def run():
            upstream = ScriptedUpstream(delayed(0.3))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}) * 2)
                await asyncio.sleep(0.1)
                writer.write_eof()
                async with asyncio.timeout(3.0):
                    data = await reader.read()
                assert data.count(b"HTTP/1.1 200 ") == data.count(b"done") == 2
                assert len(upstream.received) == 2

        asyncio.run(run())


class TestProbes:
    def test_no_probe_follows_the_end_of_a_stream(self):
        """Guards against a byte after a response if the event loop stalls at its end."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.05))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                writer.write_eof()
                head = await reader.readuntil(make_event(1))
                [connection] = frontend.server.connections
                write = connection.stream.write

                def stall_after_the_end(data):
                    written = write(data)
                    if data == b"0\r\n\r\n":
                        time.sleep(PROBE_INTERVAL_S + 0.05)
                    return written

                connection.stream.write = stall_after_the_end
                async with asyncio.timeout(3.0):
                    data = head + await reader.read()
                assert data.endswith(make_event(4) + b"\r\n0\r\n\r\n")

        asyncio.run(run())

    def test_reset_before_a_probe_is_no_error(self, caplog):
        """Guards against an exception if a probe itself finds that the connection was reset."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 2, pause_s=2.0))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await reader.readuntil(make_event(1))
                writer.write_eof()
                await asyncio.sleep(0.05)
                client = writer.get_extra_info("socket")
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                writer.transport.abort()
                await asyncio.sleep(0)
                # The reset and the time of the next probe are found in the same pass of the loop.
                time.sleep(PROBE_INTERVAL_S + 0.05)
                await asyncio.sleep(0.1)
                assert frontend.dispatcher.outcomes

        asyncio.run(run())
        assert [record.exc_text for record in caplog.records if record.exc_info] == []


class TestUnacknowledgedProbes:
    def test_caller_whose_host_answers_nothing(self, monkeypatch):
        """Guards against work for a caller that has left behind a path that drops all packets."""
        monkeypatch.setattr(CallerStream, "_count_unacknowledged", lambda stream: 25)

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                left_s = time.monotonic()
                writer.write_eof()
                while not frontend.dispatcher.outcomes:
                    await asyncio.sleep(0.01)
                    assert time.monotonic() - left_s < MAX_NOTICE_S

        asyncio.run(run())

    @pytest.mark.parametrize("unacknowledged", [25, None])
    def test_operator_without_proof_does_not_wait(self, monkeypatch, unacknowledged):
        """Guards against a late order of an operator of whom nothing proves that it still waits."""

        async def run():
            with socket.create_server((HOST, 0)) as server, socket.socket() as client:
                client.connect(server.getsockname())
                accepted, _ = server.accept()
                stream = CallerStream(accepted)
                client.sendall(b"POST / HTTP/1.1\r\n\r\n")
                client.shutdown(socket.SHUT_WR)
                await stream.read_until_regex(b"\r\n\r\n")
                stream.set_close_callback(lambda: None)
                while stream.input_ended_s is None:
                    await asyncio.sleep(0.01)
                monkeypatch.setattr(stream, "_count_unacknowledged", lambda: unacknowledged)
                async with asyncio.timeout(1.0):
                    assert not await stream.is_peer_waiting()
                stream.close()

        asyncio.run(run())
