"""Cores and an entry node in one event loop, for tests."""

import asyncio
import contextlib

from result import Err

from laburnumrock.dispatch import DispatchCall, UpstreamReport, UpstreamState
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.forwarding.tests.scripted import (
    make_request,
    read_response,
)
from laburnumrock.nodes import CoreNode, EntryNode, NodeListen, NodeSettings
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._wire import PlatformWire
from laburnumrock.platform.tests.samples import make_config
from laburnumrock.scenarios import find_free_ports

CORES = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
KEY = b"key"
WAIT_S = 8.0


async def wait_until(condition) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


class Deployment:
    """Cores and an entry node in one event loop; `values` are settings of all nodes."""

    def __init__(self, folder, core_names=CORES, **values) -> None:
        self.folder = folder
        self.core_names = core_names
        self.values = values
        self.ports = find_free_ports(2, "")
        self.cores: dict[str, CoreNode] = {}
        self.entry: EntryNode | None = None

    def make_settings(self, name: str, **values) -> NodeSettings:
        listen = NodeListen(name, *self.ports)
        values = {"shutdown_timeout_s": 4.0, **self.values, **values}
        return NodeSettings(name, "a", listen, self.core_names, **values)

    async def start_core(self, name: str, may_bootstrap: bool = True) -> CoreNode:
        settings = self.make_settings(
            name, data_folder=self.folder / name, may_bootstrap=may_bootstrap
        )
        core = CoreNode(settings, KEY, decode_routes)
        assert (await core.start()).is_ok()
        self.cores[name] = core
        return core

    async def start_entry(self) -> EntryNode:
        self.entry = EntryNode(self.make_settings(ENTRY), KEY, decode_routes, PlatformWire())
        await self.entry.start()
        return self.entry

    def leader(self) -> CoreNode | None:
        return next((core for core in self.cores.values() if core.is_leading), None)

    async def store(self, version: int) -> None:
        def change(config):
            config["version"] = version

        document = make_config(change)
        core = next(iter(self.cores.values()))
        stored = await core.changes.store_routes(decode_routes(document).unwrap(), document)
        assert stored.is_ok()

    async def stop(self) -> None:
        if self.entry is not None:
            for task in self.entry.tasks:
                task.cancel()
            self.entry.frontend.stop_listening()
            self.entry.pool.close()
            await self.entry.network.stop()
        for core in list(self.cores.values()):
            await core.stop()


@contextlib.asynccontextmanager
async def open_deployment(folder, core_names=CORES, **values):
    """Start cores and an entry node, and stop them on exit."""
    deployment = Deployment(folder, core_names, **values)
    for name in core_names:
        await deployment.start_core(name)
    await deployment.start_entry()
    try:
        await wait_until(deployment.leader)
        yield deployment
    finally:
        await deployment.stop()


def make_report(port: int, **values) -> UpstreamReport:
    fields = {
        "upstream_id": "u1",
        "service": "llm",
        "host": "127.0.0.1",
        "port": port,
        "failure_domain": "a",
        "incarnation": 1,
        "sequence": 1,
        "slots": 8,
        "state": UpstreamState.READY,
    }
    return UpstreamReport(**{**fields, **values})


async def request(deployment: Deployment) -> int:
    reader, writer = await asyncio.open_connection(ENTRY, deployment.ports[0])
    writer.write(make_request("/x/1", "POST", b"{}", {}))
    response = await asyncio.wait_for(read_response(reader), 5.0)
    writer.close()
    return response.status


async def fail_call(peer, message, timeout_s):
    return Err(Failure(ErrorKind.PEER_UNREACHABLE))


def make_call():
    return DispatchCall("r1", 1, "llm", "one", 1, 5000, 800, 0.3, 0.2, 10.0)


async def waits() -> bool:
    """Stand for an operator that waits for the answer of its order."""
    return True
