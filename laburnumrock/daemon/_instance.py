"""Assembles and runs the tasks of one instance."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Protocol

from eliot import log_message
from result import Err, Result
from tornado.httpserver import HTTPServer

from laburnumrock.daemon._declaration_task import DeclarationTask
from laburnumrock.daemon._lifecycle import Lifecycle, finish_requests
from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._membership_task import MembershipTask
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.daemon._operator_access import OperationAdmin, StatusReporter, VoterAdmin
from laburnumrock.daemon._order_task import OrderTask
from laburnumrock.daemon._owner_monitor import OwnerMonitor
from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.daemon._permits import PermitClient
from laburnumrock.daemon._pool_directory import PoolDirectory
from laburnumrock.daemon._pool_runner import make_scheduler_factory
from laburnumrock.daemon._pool_task import PoolTask
from laburnumrock.daemon._quota_task import QuotaTask
from laburnumrock.daemon._quotas import QuotaClient
from laburnumrock.daemon._replica import Replica
from laburnumrock.declarations import ServiceKind
from laburnumrock.errors import Failure
from laburnumrock.gateway import (
    GatewayServices,
    OperatorServices,
    make_app,
    operator_routes,
    serve_app,
)
from laburnumrock.metrics import Counters, HistogramRegistry
from laburnumrock.settings import InstanceKeys, InstanceSettings
from laburnumrock.transport import PeerNetwork

READY_POLL_S = 0.05


class Task(Protocol):
    """Long-running task that owns sockets, files or timers."""

    async def start(self) -> object:
        """Start the task."""

    async def stop(self) -> None:
        """Stop the task and hand over or release its resources."""


class Instance:
    """All tasks of one ``laburnumrockd`` process.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    keys : InstanceKeys
        Keys that authenticate peers, operators and orders to engines.
    counters : Counters
        statsd counters.
    """

    def __init__(self, settings: InstanceSettings, keys: InstanceKeys, counters: Counters) -> None:
        self.settings = settings
        self.lifecycle = Lifecycle(settings.instance_id, self.is_in_service)
        self.stop_requested = asyncio.Event()
        self.has_started = False
        self.network = PeerNetwork(settings, keys.shared)
        self.log = LogTask(settings, self.network)
        replica = Replica(self.log.state) if self.log.runner is not None else None
        self.declarations = DeclarationTask(settings, self.network, self.log, replica)
        self.log.on_applied(lambda *_: self.declarations.observe_store())
        self.log.on_restored(self.declarations.observe_store)
        view = self.declarations.view
        self.membership = MembershipTask(settings, self.network)
        self.ownership = OwnershipTask(settings, self.network)
        self.directory = PoolDirectory(settings.failure_domain, self.ownership)
        self.pools = PoolTask(
            settings,
            self.network,
            self.ownership,
            self.directory,
            view,
            make_scheduler_factory(settings),
        )
        self.ownership.add_listener(self.pools.wake)
        self.declarations.add_listener(self.pools.wake)
        self.membership.facts_sources.append(self.declarations.provide_facts)
        self.membership.facts_handlers.append(self.declarations.receive_facts)
        self.membership.report_sources.append(self.pools.collect_reports)
        self.membership.digest_handlers.append(self.pools.receive_reports)
        self.permits = PermitClient(settings, self.network, self.directory, view)
        self.quota_task = QuotaTask(settings, self.network, self.ownership, view)
        self.membership.find_coordinator = self.ownership.find_coordinator
        self.membership.digest_handlers.append(self.quota_task.receive_digest)
        self.quotas = QuotaClient(settings, self.network, self.ownership)
        self.operations = OperationClient(settings, self.log)
        self.owner_monitor = OwnerMonitor(
            settings, self.log, self.operations, self.membership.live_members
        )
        self.membership.digest_handlers.append(self.owner_monitor.receive_digest)
        self.orders = OrderTask(settings, self.network, self.log, keys.orders)
        self.pools.announcement_listeners.append(self.orders.observe)
        self.services = GatewayServices(
            settings=settings,
            declarations=view,
            permits=self.permits,
            quotas=self.quotas,
            operations=self.operations,
            announce=self.pools.announce,
            lifecycle=self.lifecycle,
            histograms=HistogramRegistry(),
            counters=counters,
        )
        self.operator_services = OperatorServices(
            declarations=self.declarations,
            operations=OperationAdmin(self.operations),
            voters=VoterAdmin(self.log),
            orders=self.orders,
            status=StatusReporter(
                settings,
                self.lifecycle,
                self.log,
                self.ownership,
                self.directory,
                view,
                self.network.traffic,
            ),
            lifecycle=self.lifecycle,
            operator_key=keys.operator,
        )

    def is_in_service(self) -> bool:
        """Return whether the declarations keep this instance in service."""
        view = self.declarations.view
        return view.is_in_service(ServiceKind.INSTANCE, self.settings.instance_id)

    def request_stop(self) -> None:
        """Begin a graceful shutdown."""
        self.stop_requested.set()

    async def run(self) -> Result[None, Failure]:
        """Run until a graceful shutdown has completed.

        Returns
        -------
        Result
            Nothing after a graceful shutdown, or the failure that prevented the start or made the
            instance stop. `has_started` tells these two cases apart.
        """
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(run_task(self.network))
            started = await self.log.start()
            if started.is_err():
                return started
            stack.push_async_callback(self.log.stop)
            for task in (
                self.declarations,
                self.membership,
                self.ownership,
                self.pools,
                self.permits,
                self.quota_task,
                self.quotas,
                self.operations,
                self.owner_monitor,
                self.orders,
            ):
                await stack.enter_async_context(run_task(task))
            server = self._serve()
            self.has_started = True
            log_failure_task = asyncio.create_task(self._stop_after_log_failure())
            await self._wait_until_ready()
            await self.stop_requested.wait()
            await finish_requests(self.lifecycle, server, self.settings.timing)
            log_failure_task.cancel()
        self.lifecycle.fire("handed_over")
        return started if self.log.failure is None else Err(self.log.failure)

    async def _stop_after_log_failure(self) -> None:
        """Shut down gracefully when the log fails; running requests can finish without it."""
        failure = await self.log.wait_until_failed()
        log_message("instance_stops", reason=str(failure))
        self.request_stop()

    def _serve(self) -> HTTPServer:
        app = make_app(self.services, operator_routes(self.operator_services))
        return serve_app(app, self.services)

    async def _wait_until_ready(self) -> None:
        while not self.stop_requested.is_set():
            if self.declarations.is_ready():
                self.lifecycle.fire("started")
                return
            await asyncio.sleep(READY_POLL_S)


@contextlib.asynccontextmanager
async def run_task(task: Task) -> AsyncIterator[None]:
    """Start a task and stop it when the context exits."""
    await task.start()
    try:
        yield
    finally:
        await task.stop()
