"""Seeded fault-injection simulation of orders to engines."""

from dataclasses import replace

from laburnumrock.orders import AddOrder, EngineSighting, Order, OrderKind
from laburnumrock.orders._messages import TARGET_ARGUMENTS
from laburnumrock.scenarios._log_cluster import LogCluster
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._order_engine import OrderChecks, VirtualEngine
from laburnumrock.scenarios._order_host import OrderHost
from laburnumrock.settings import OrderSettings

ENGINES = 4
SIGHTING_INTERVAL_S = 0.5
SETTLE_PHASE_S = 120.0
REPLICATION_PHASE_S = 2.0
LONG_FREEZE_FACTOR = 4.0
FAULT_PROBABILITY = 0.3
SENDER_FREEZE_PROBABILITY = 0.1


class OrderCluster(LogCluster):
    """Simulation of three voters whose leader sends orders to engines.

    Half of the engines ignore fencing numbers.

    Parameters
    ----------
    seed : int
        Seed that determines every fault and delay.
    host_type : type
        Class of the voters; tests pass faulty subclasses to verify that the checks fail.
    """

    fault_phase_s = 40.0

    def __init__(self, seed: int, host_type: type[OrderHost] = OrderHost) -> None:
        super().__init__(seed, host_type)
        names = [f"e{number}" for number in range(ENGINES)]
        fencing = names[::2]
        self.order_settings = OrderSettings(
            max_loads=2, loads_per_s=4.0, load_burst=2.0, fencing_upstreams=fencing
        )
        self.order_checks = OrderChecks(self.order_settings.max_loads)
        self.engines = {
            name: VirtualEngine(name, name in fencing, self.clock, self.order_checks, self.rng)
            for name in names
        }
        for host in self.hosts.values():
            host.engines = self.engines
            host.order_checks = self.order_checks
            host.orders = self.order_settings
            host.before_write = self._freeze_sender
        self.faults_ended = False
        self.added: list[AddOrder] = []

    def _inject_fault(self) -> None:
        # A new controller waits before it sends, so with more faults few orders would be sent.
        if self.rng.random() < FAULT_PROBABILITY:
            super()._inject_fault()

    def _freeze_sender(self, host: LogHost) -> None:
        """Freeze a controller between its decision to send an order and the first byte sent."""
        if not self.faults_ended and self.rng.random() < SENDER_FREEZE_PROBABILITY:
            self._freeze(host, self.rng.uniform(1.0, 2.5))

    def _freeze(self, host: LogHost, duration_s: float) -> None:
        # Freezes last long enough for a new controller to take over and send newer orders. Only one
        # voter is frozen at a time, since two frozen voters leave no quorum for a new controller.
        if not any(other.frozen for other in self.hosts.values()):
            super()._freeze(self.find_leader() or host, LONG_FREEZE_FACTOR * duration_s)

    def _end_faults(self) -> None:
        self.faults_ended = True
        super()._end_faults()

    def _schedule_operations(self, end_s: float) -> None:
        self._announce_engines()
        time_s = self.clock.now_s
        while time_s < end_s:
            time_s += self.rng.uniform(0.05, 0.4)
            self.clock.at(time_s, self._add_order)
            if self.rng.random() < 0.1:
                engine = self.rng.choice(list(self.engines.values()))
                self.clock.at(time_s, engine.restart)

    def _announce_engines(self) -> None:
        self.clock.after(SIGHTING_INTERVAL_S, self._announce_engines)
        for engine in self.engines.values():
            sighting = EngineSighting(engine.name, engine.incarnation, f"http://{engine.name}")
            for host in self.hosts.values():
                if self.rng.random() >= 0.2:
                    host.receive_sighting(sighting)

    def _add_order(self) -> None:
        leader = self.find_leader()
        if leader is None:
            return
        if self.added and self.rng.random() < 0.2:
            command = self.rng.choice(self.added)
        else:
            kind = self.rng.choice(list(OrderKind))
            arguments = {TARGET_ARGUMENTS[kind]: self.rng.choice("xyz")}
            name = self.rng.choice(list(self.engines))
            command = AddOrder(f"o{len(self.added)}", name, kind, arguments)
            self.added.append(command)
        leader.propose(replace(command), lambda response: None)

    def _finish_open_work(self) -> None:
        """Run until the controller has completed all orders, or the settle phase ends."""
        end_s = self.clock.now_s + SETTLE_PHASE_S
        while self.clock.now_s < end_s and (self._open_ids() or self._find_missing_orders()):
            self.clock.run_until(self.clock.now_s + 1.0)
            self._replace_lost_voter()
        # Lets the last commits reach every voter.
        self.clock.run_until(self.clock.now_s + REPLICATION_PHASE_S)

    def _open_ids(self) -> list[str]:
        leader = self.find_leader()
        open_ids = leader.state.parts["orders"].open_ids if leader is not None else {}
        return [name for names in open_ids.values() for name in names]

    def _find_missing_orders(self) -> list[Order]:
        leader = self.find_leader()
        if leader is None:
            return []
        order_store = leader.state.parts["orders"]
        desired = [order for name in self.engines for order in order_store.find_desired(name)]
        return [
            order
            for order in desired
            if order.target not in self.engines[order.upstream_id].loaded[order.kind]
        ]

    def _check_final_state(self) -> None:
        super()._check_final_state()
        if self._open_ids():
            raise AssertionError(f"orders are still open: {self._open_ids()}")
        if self._find_missing_orders():
            raise AssertionError(
                f"engines did not load the targets of {self._find_missing_orders()}"
            )
