"""Tests of the forms of requests and clients on connections whose sending side is closed."""

import asyncio
import http.client
import socket

import pytest

from laburnumrock.forwarding.tests.scripted import (
    HOST,
    ScriptedUpstream,
    make_request,
    open_frontend,
)
from laburnumrock.forwarding.tests.test_half_closed import delayed, read_final_response


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
