"""Seeded failure schedules for orders to engines."""

from dataclasses import replace

from laburnumrock.orders import AddOrder, EngineSighting, Order, OrderKind
from laburnumrock.orders._messages import TARGET_ARGUMENTS
from laburnumrock.scenarios._log_cluster import LogCluster
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._order_engine import OrderChecks, VirtualEngine
from laburnumrock.scenarios._order_host import OrderHost
from laburnumrock.settings import OrderSettings

ENGINES = 4
SIGHTING_S = 0.5
SETTLE_PHASE_S = 120.0
QUIET_PHASE_S = 2.0
LONG_FREEZE_FACTOR = 4.0
FAULT_SHARE = 0.3
FREEZE_SENDER = 0.1


class OrderCluster(LogCluster):
    """Three voters whose leader orders engines, half of which ignore fencing numbers.

    Parameters
    ----------
    seed : int
        Decides every fault and every delay.
    host_type : type
        Class of the voters; tests pass faulty ones to prove that the checks notice.
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
        self.is_calm = False
        self.added: list[AddOrder] = []

    def _inject(self) -> None:
        # Every change of the controller costs a wait; with more faults few orders are sent.
        if self.rng.random() < FAULT_SHARE:
            super()._inject()

    def _freeze_sender(self, host: LogHost) -> None:
        """Freeze a controller between its decision to send an order and the first byte."""
        if not self.is_calm and self.rng.random() < FREEZE_SENDER:
            self._freeze(host, self.rng.uniform(1.0, 2.5))

    def _freeze(self, host: LogHost, duration_s: float) -> None:
        # Long enough for a new controller to take over and to carry out newer orders, and one at a
        # time, since two frozen voters leave no quorum for a new controller.
        if not any(one.frozen for one in self.hosts.values()):
            super()._freeze(self.find_leader() or host, LONG_FREEZE_FACTOR * duration_s)

    def _calm(self) -> None:
        self.is_calm = True
        super()._calm()

    def _schedule_work(self, end_s: float) -> None:
        self._announce()
        time_s = self.clock.now_s
        while time_s < end_s:
            time_s += self.rng.uniform(0.05, 0.4)
            self.clock.at(time_s, self._add_order)
            if self.rng.random() < 0.1:
                engine = self.rng.choice(list(self.engines.values()))
                self.clock.at(time_s, engine.restart)

    def _announce(self) -> None:
        self.clock.after(SIGHTING_S, self._announce)
        for engine in self.engines.values():
            sighting = EngineSighting(engine.name, engine.incarnation, f"http://{engine.name}")
            for host in self.hosts.values():
                if self.rng.random() >= 0.2:
                    host.sight(sighting)

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
        leader.propose(replace(command), lambda answer: None)

    def _resend_open(self) -> None:
        """Give the controller time to finish."""
        end_s = self.clock.now_s + SETTLE_PHASE_S
        while self.clock.now_s < end_s and (self._open_ids() or self._forgotten()):
            self.clock.run_until(self.clock.now_s + 1.0)
            self._replace_lost_voter()
        # The last commits reach every voter.
        self.clock.run_until(self.clock.now_s + QUIET_PHASE_S)

    def _open_ids(self) -> list[str]:
        leader = self.find_leader()
        open_ids = leader.state.parts["orders"].open_ids if leader is not None else {}
        return [name for names in open_ids.values() for name in names]

    def _forgotten(self) -> list[Order]:
        leader = self.find_leader()
        if leader is None:
            return []
        book = leader.state.parts["orders"]
        wanted = [order for name in self.engines for order in book.find_desired(name)]
        return [
            order
            for order in wanted
            if order.target not in self.engines[order.upstream_id].loaded[order.kind]
        ]

    def _check_end(self) -> None:
        super()._check_end()
        if self._open_ids():
            raise AssertionError(f"orders stayed open: {self._open_ids()}")
        if self._forgotten():
            raise AssertionError(f"engines lack {self._forgotten()}")
