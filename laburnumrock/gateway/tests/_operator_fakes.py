"""Operator API on a declaration store without a replicated log, for tests of handlers and CLI."""

import asyncio
import threading
from contextlib import contextmanager

from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from laburnumrock.declarations import DeclarationStore, DeclarationView
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._operator import operator_routes
from laburnumrock.gateway._operator_services import OperatorServices
from laburnumrock.gateway.tests.fakes import FakeLifecycle

KEY = b"operator-key-of-the-tests"


class FakeDeclarations:
    """Applies changes immediately; `lagging` holds the results of the next in-force queries."""

    def __init__(self):
        self.store = DeclarationStore()
        self.view = DeclarationView(3.0)
        self.lagging = []
        self.lost_responses = 0
        self.commands = []

    async def submit(self, command):
        self.commands.append(command)
        answer = self.store.apply(command, len(self.commands))
        self.view.replace(self.store.current, self.store.revision)
        if self.lost_responses > 0:
            self.lost_responses -= 1
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "the answer was lost"))
        if answer.kind is not None:
            return Err(Failure(answer.kind, answer.detail, answer.field_path))
        return Ok(answer)

    async def find_lagging_instances(self, revision):
        return self.lagging.pop(0) if self.lagging else []

    async def find_instances_without_hold(self, failure_domain):
        return self.lagging.pop(0) if self.lagging else []

    async def read_history(self, limit):
        return Ok(list(self.store.history)[-limit:])

    def add_hold(self, failure_domain, operator):
        return Ok(self.view.holds.add(failure_domain, operator, 1.0))

    def remove_hold(self, failure_domain, operator):
        hold = self.view.holds.remove(failure_domain, operator, 1.0)
        return Err(Failure(ErrorKind.NOT_FOUND, "not held")) if hold is None else Ok(hold)


class FakeOperatorBackend:
    """Fake of the operation, voter, order and status services."""

    def __init__(self):
        self.calls = []
        self.voters = ["a1"]
        self.orders = {}

    async def find_operation(self, account, key):
        if key == "absent":
            return Err(Failure(ErrorKind.NOT_FOUND, "no such operation"))
        state = None if key == "unrecorded" else "done"
        found = {"client_account": account, "key": key, "state": state}
        return Ok(found | {"answer": {"status": 200, "body": b"order 7 \xff"}})

    async def reconcile(self, account, key, outcome, source, operator, request_id):
        self.calls.append((account, key, outcome, source))
        state = {"settled": "done", "unrecorded": None}.get(key, outcome)
        accepted = key not in ("settled", "unrecorded")
        return Ok({"accepted": accepted, "key": key, "state": state, "source": source})

    async def change_voter(self, action, instance_id):
        self.calls.append((action, instance_id))
        if action == "add":
            self.voters.append(instance_id)
        return Ok({"action": action, "instance_id": instance_id})

    async def add_order(self, order_id, upstream_id, kind, arguments):
        order = {"order_id": order_id, "upstream_id": upstream_id, "kind": kind}
        order |= {"arguments": arguments, "state": "recorded", "result": ""}
        self.orders.setdefault(order_id, order)
        return Ok(self.orders[order_id])

    async def list_orders(self, upstream_id):
        found = [
            order for order in self.orders.values() if upstream_id in (None, order["upstream_id"])
        ]
        return Ok({"orders": found})

    def describe_status(self):
        return {"instance_id": "a1", "voters": self.voters}


def make_services(lifecycle=None):
    control = FakeOperatorBackend()
    backends = (FakeDeclarations(), control, control, control, control)
    return OperatorServices(*backends, lifecycle or FakeLifecycle(), KEY)


@contextmanager
def run_server(services):
    """Serve the operator API on the loopback interface in a thread and yield its base URL."""
    loop = asyncio.new_event_loop()
    sockets = bind_sockets(0, "127.0.0.1")
    started = threading.Event()

    async def serve():
        server = HTTPServer(Application(operator_routes(services)))
        server.add_sockets(sockets)
        loop.call_soon(started.set)
        return server

    def run():
        asyncio.set_event_loop(loop)
        loop.run_until_complete(serve())
        loop.run_forever()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    started.wait(5)
    try:
        yield f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join(5)
        for item in sockets:
            item.close()
