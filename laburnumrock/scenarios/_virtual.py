"""Virtual clock and a network that loses, repeats, delays and reorders messages."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class FaultRates:
    """Faults of a virtual network.

    Parameters
    ----------
    drop, duplicate, slow : float
        Probability per message.
    delay_s : tuple of float
        Bounds of the usual delay.
    slow_s : float
        Longest delay of a slow message; such messages are overtaken by later ones.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    slow: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    slow_s: float = 1.0


class VirtualClock:
    """Runs actions in the order of their times.

    Parameters
    ----------
    start_s : float
        First reading.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self.now_s = start_s
        self.actions: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self.actions, (time_s, next(self.numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def run_until(self, end_s: float) -> None:
        """Run all actions up to a time."""
        while self.actions and self.actions[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.actions)
            action()
        self.now_s = end_s


class VirtualNetwork:
    """Carries messages between named hosts.

    Parameters
    ----------
    clock : VirtualClock
        Time of delivery.
    source : random.Random
        Source of the faults.
    rates : FaultRates
        How often they occur.
    """

    def __init__(self, clock: VirtualClock, rng: random.Random, rates: FaultRates) -> None:
        self.clock = clock
        self.rng = rng
        self.rates = rates
        self.receivers: dict[str, Callable[[str, object], None]] = {}
        self.cut_links: set[tuple[str, str]] = set()

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Send a message; faults decide whether, when and how often it arrives."""
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
