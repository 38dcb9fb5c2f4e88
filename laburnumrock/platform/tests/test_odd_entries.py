"""Entries of another writer among the heartbeats of the engines."""

import asyncio
import json
import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, RequestStartLine

from laburnumrock.dispatch import (
    DispatchCall,
    Dispatcher,
    DispatchSettings,
    UpstreamDirectory,
    UpstreamState,
)
from laburnumrock.forwarding._wire import SendMetadata
from laburnumrock.messages import Frame, decode_frame, encode_frame
from laburnumrock.nodes._messages import ConfirmDeparture, UpstreamNews, View
from laburnumrock.nodes.tests.deployment import open_deployment, wait_until
from laburnumrock.platform._control import listen_control
from laburnumrock.platform._reports import decode_report
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._wire import PlatformWire
from laburnumrock.platform.soak._operator import call_core
from laburnumrock.platform.tests.samples import HEARTBEAT, make_config

HUGE = 2**63 - 1
ODD_VALUES = [
    "\ud800",
    "a\x00b",
    "a\r\nX: 1",
    "\u6771\u4eac",
    "\u2028",
    "x" * 100_000,
    True,
    -1,
    HUGE,
    2**64,
    1e308,
    None,
    [],
    {},
]
ODD_ADDRESSES = [
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "240.0.0.1:80",
    "::1:80",
    "[::1]:80",
    "engine.example:80",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    "10.0.0.1:\u0661",
    "10.0.0.1: 8_0",
    "10.0.0.1:" + "9" * 5_000,
]
ODD_BODIES = [
    b"",
    b"\xff\xfe",
    b"null",
    b"[" * 100_000,
    b'{"a":' * 100_000,
    b'{"sequence": ' + b"9" * 5_000 + b"}",
    b'{"sequence": 1e400, "slots": NaN, "cold_left_ms": -Infinity}',
    b'{"service": "llm", "service": 5}',
    b"{" + b" " * 2_000_000 + b"}",
    b"[]" * 65 + b'"' + b'\\"' * 100_000,
]
ODD_NAMES = ["%00", "a%0d%0aX:1", "%ff%fe", "%ed%a0%80", "x" * 5_000, "%e6%9d%b1", "a%20b"]

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters())
    | st.sampled_from(ODD_VALUES)
    | st.sampled_from(ODD_ADDRESSES),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner, max_size=2),
    max_leaves=4,
)
odd_heartbeats = st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), json_values, max_size=3)


def use_report(report) -> None:
    """Use a report as cores, entry nodes and the dispatcher do."""
    view = View(1, 1, 0, b"", [], [], [report])
    for message in (UpstreamNews([report]), ConfirmDeparture(report.upstream_id, report), view):
        assert decode_frame(encode_frame(Frame(message))).unwrap().message == message
    dispatcher = Dispatcher(DispatchSettings(), UpstreamDirectory(9.0, 9.0), random.Random(1))
    dispatcher.set_routes(decode_routes(make_config()).unwrap())
    dispatcher.start(1, 0.0)
    dispatcher.observe(report, 0.0)
    for service in ("llm", "app"):
        call = DispatchCall("r", 1, service, "a", 1, 5_000, 500, 0.3, 0.2, 9.0)
        dispatcher.place("e", "a", call, 1.0)
    request = PlatformWire().decode_request("POST", "/x/", HTTPHeaders({"Host": "a"}))
    headers = PlatformWire().encode_request(request, SendMetadata(report.upstream_id, "a", 1.0))
    write_head(headers)


class _DiscardingStream:
    """Stream that discards what is written."""

    max_buffer_size = 1

    def write(self, data: bytes):
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    def set_close_callback(self, callback) -> None:
        pass

    def closed(self) -> bool:
        return False


def write_head(headers: HTTPHeaders) -> None:
    async def run():
        connection = HTTP1Connection(_DiscardingStream(), True)
        await connection.write_headers(RequestStartLine("POST", "/x/", "HTTP/1.1"), headers)

    asyncio.run(run())


class TestDecoding:
    @pytest.mark.parametrize("field", sorted(HEARTBEAT))
    def test_each_value_is_refused_or_usable(self, field):
        """Guards against an entry that fails the messages between nodes or the sends to it."""
        for value in ODD_VALUES:
            decoded = decode_report("e1", json.dumps(HEARTBEAT | {field: value}).encode())
            if decoded.is_ok():
                use_report(decoded.unwrap())

    @given(odd_heartbeats)
    def test_random_values_are_refused_or_usable(self, values):
        """Guards against the same for combinations of values."""
        decoded = decode_report("e1", json.dumps(HEARTBEAT | values).encode())
        if decoded.is_ok():
            use_report(decoded.unwrap())

    @given(st.text(st.characters(), max_size=40))
    def test_random_names_are_refused_or_usable(self, name):
        """Guards against a name that cannot be written to a header or a message."""
        decoded = decode_report(name, json.dumps(HEARTBEAT).encode())
        if decoded.is_ok():
            use_report(decoded.unwrap())

    @pytest.mark.parametrize("address", ODD_ADDRESSES, ids=range(len(ODD_ADDRESSES)))
    def test_address_that_is_no_engine(self, address):
        """Guards against connections to this instance, to a group, or to a name to look up."""
        body = json.dumps(HEARTBEAT | {"address": address}).encode()
        assert decode_report("e1", body).is_err()

    @pytest.mark.parametrize("body", ODD_BODIES, ids=range(len(ODD_BODIES)))
    def test_body_is_refused_at_once(self, body):
        """Guards against a body that holds up the event loop, and with it the heartbeats."""
        began_s = time.process_time()
        assert decode_report("e1", body).is_err()
        assert time.process_time() - began_s < 0.5


class TestOtherEntriesHold:
    """An odd entry changes nothing for the engines beside it."""

    def observe(self, *changes: tuple[str, dict]) -> UpstreamDirectory:
        directory = UpstreamDirectory(9.0, 9.0)
        dispatcher = Dispatcher(DispatchSettings(), directory, random.Random(1))
        dispatcher.set_routes(decode_routes(make_config()).unwrap())
        for name, values in (("e1", {}), *changes):
            body = json.dumps(HEARTBEAT | values).encode()
            dispatcher.observe(decode_report(name, body).unwrap(), 1.0)
        return directory

    def test_unknown_service_at_the_address_of_an_engine(self):
        """Guards against an entry without a known service that takes the address of an engine."""
        directory = self.observe(("odd", {"service": "none", "born": HUGE}))
        assert [one.report.upstream_id for one in directory.usable("llm", 1.0)] == ["e1"]

    def test_unknown_service_under_the_name_of_an_engine(self):
        """Guards against an entry without a known service that replaces that of an engine."""
        directory = self.observe(("e1", {"service": "none", "sequence": HUGE}))
        assert [one.report.upstream_id for one in directory.usable("llm", 1.0)] == ["e1"]

    def test_engine_of_a_later_service_is_remembered(self):
        """Guards against an engine that is unknown when the change that names its service comes."""
        values = {"service": "later", "address": "10.0.0.2:80"}
        assert self.observe(("e2", values)).usable("later", 1.0)


class TestDeployment:
    def test_odd_entries_change_nothing(self, tmp_path):
        """Guards against cores and entry nodes that stop following the engines."""

        async def put(deployment, core: str, name: str, body: bytes) -> int:
            path = f"/laburnumrock/instances/{name}"
            return (await call_core(core, deployment.ports[0], "PUT", path, body))[0]

        async def send_odd_entries(deployment) -> list[int]:
            statuses = []
            for core in deployment.cores:
                for value in ODD_VALUES:
                    for field in HEARTBEAT:
                        body = json.dumps(HEARTBEAT | {field: value, "born": 2}).encode()
                        statuses.append(await put(deployment, core, "odd", body))
                for body in ODD_BODIES:
                    statuses.append(await put(deployment, core, "odd", body))
                for name in ODD_NAMES:
                    body = json.dumps(HEARTBEAT | {"address": "10.0.0.8:80"}).encode()
                    statuses.append(await put(deployment, core, name, body))
            return statuses

        async def run():
            async with open_deployment(tmp_path) as deployment:
                servers = [
                    listen_control(core, name, deployment.ports[0])
                    for name, core in deployment.cores.items()
                ]
                entry = deployment.entry
                await deployment.store(7)
                await wait_until(lambda: entry.is_ready and entry.leader is not None)
                leader = entry.leader
                first, *_ = deployment.cores
                assert await put(deployment, first, "e1", json.dumps(HEARTBEAT).encode()) == 200
                await wait_until(lambda: entry.directory.usable("llm", time.monotonic()))
                statuses = await send_odd_entries(deployment)
                assert set(statuses) <= {200, 400}
                assert entry.leader == leader
                values = {"sequence": 5, "state": "draining"}
                for name in deployment.cores:
                    body = json.dumps(HEARTBEAT | values).encode()
                    assert await put(deployment, name, "e1", body) == 200
                record = entry.directory.records["e1"]
                await wait_until(lambda: record_state(entry) is not UpstreamState.READY)
                assert record.report.host == HEARTBEAT["address"].partition(":")[0]
                for server in servers:
                    server.stop()

        def record_state(entry) -> UpstreamState:
            return entry.directory.records["e1"].report.state

        asyncio.run(run())
