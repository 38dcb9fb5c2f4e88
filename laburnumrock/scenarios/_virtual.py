"""Virtual clock, and a network that drops, duplicates, delays and reorders messages."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class FaultRates:
    """Fault rates and delays of a virtual network.

    Parameters
    ----------
    drop, duplicate, slow : float
        Probability of each fault per message.
    delay_s : tuple of float
        Lower and upper bound of the normal delay.
    slow_s : float
        Maximum additional delay of a slow message, which later messages may overtake.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    slow: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    slow_s: float = 1.0


class VirtualClock:
    """Runs scheduled actions in the order of their times.

    Parameters
    ----------
    start_s : float
        Initial time in seconds.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s
        self.actions: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence_numbers = itertools.count()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at an absolute time."""
        heapq.heappush(self.actions, (time_s, next(self.sequence_numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def run_until(self, end_s: float) -> None:
        """Run all actions that are due up to a time, and advance the clock to it."""
        while self.actions and self.actions[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.actions)
            action()
        self.now_s = end_s


class VirtualNetwork:
    """Carries messages between named hosts.

    Parameters
    ----------
    clock : VirtualClock
        Clock that schedules the deliveries.
    rng : random.Random
        Random number generator that decides faults and delays.
    rates : FaultRates
        Fault rates and delays.
    """

    def __init__(self, clock: VirtualClock, rng: random.Random, rates: FaultRates) -> None:
        self.clock = clock
        self.rng = rng
        self.rates = rates
        self.receivers: dict[str, Callable[[str, object], None]] = {}
        self.cut_links: set[tuple[str, str]] = set()

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Send a message, which may be dropped, duplicated or delayed according to `rates`."""
        if (sender, receiver) in self.cut_links or self.rng.random() < self.rates.drop:
            return
        copies = 2 if self.rng.random() < self.rates.duplicate else 1
        for _ in range(copies):
            delay_s = self.rng.uniform(*self.rates.delay_s)
            if self.rng.random() < self.rates.slow:
                delay_s += self.rng.uniform(0.0, self.rates.slow_s)
            self.clock.after(delay_s, lambda: self._deliver(sender, receiver, message))

    def cut(self, group: set[str], others: set[str]) -> None:
        """Cut all links between two groups."""
        for first, second in itertools.product(group, others):
            self.cut_links.add((first, second))
            self.cut_links.add((second, first))

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()

    def _deliver(self, sender: str, receiver: str, message: object) -> None:
        if (sender, receiver) in self.cut_links:
            return
        receive = self.receivers.get(receiver)
        if receive is not None:
            receive(sender, message)
