"""Requests that wait for a free upstream.

Notes
-----
Answers the load pattern of a burst that exceeds the capacity for seconds. The sends that end per
second are the rate at which waiting requests start, which tells how long a further request would
wait, and when a refused caller should come back.
"""

from collections import deque
from dataclasses import dataclass, replace

from laburnumrock.dispatch._limits import DispatchSettings, max_queue_wait_s
from laburnumrock.dispatch._messages import DispatchAnswer, DispatchCall

END_RATE_WINDOW_S = 1.0
"""Time over which ended sends are counted to predict the wait in the queue."""
LATE_WAIT_RATIO = 0.7
"""Wait in multiples of the latency target after which a queued request is taken to be late."""


@dataclass(slots=True)
class QueuedCall:
    """Request that is queued for a free upstream.

    Parameters
    ----------
    entry : str
        Entry node that sends the request.
    call : DispatchCall
        The request as it arrived.
    arrived_s : float
        Clock reading of its arrival.
    improve_until_s : float
        Clock reading until which it waits for a placement on time although a late one is possible.
    wait_until_s : float
        Clock reading at which it is refused if no upstream can take it.
    """

    entry: str
    call: DispatchCall
    arrived_s: float
    improve_until_s: float
    wait_until_s: float

    def rank(self, now_s: float) -> tuple[bool, int, bool, float]:
        """Return the key by which queued requests are placed, lowest first.

        Notes
        -----
        Requests that can still be on time precede those that are late already, which would
        otherwise make all that follow late too.
        """
        late = now_s - self.arrived_s > LATE_WAIT_RATIO * self.call.goal_s
        return self.call.attempt <= 1, self.call.priority, late, self.wait_until_s

    def remaining_call(self, now_s: float) -> DispatchCall:
        """Return the call with its time limits reduced by the time spent in the queue."""
        waited_s = now_s - self.arrived_s
        return replace(
            self.call,
            goal_s=max(0.05, self.call.goal_s - waited_s),
            remaining_s=self.call.remaining_s - waited_s,
        )


@dataclass(frozen=True, slots=True)
class QueueDecision:
    """Decision on a queued request.

    Parameters
    ----------
    ticket : int
        Number of the queued request.
    queued : QueuedCall
        The request.
    answer : DispatchAnswer
        Its placement or refusal.
    """

    ticket: int
    queued: QueuedCall
    answer: DispatchAnswer


class CallQueue:
    """Queued requests of all services, and the rates at which they can start.

    Parameters
    ----------
    settings : DispatchSettings
        Limits for all entry nodes together.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.calls: dict[int, QueuedCall] = {}
        self.ended_s: dict[str, deque[float]] = {}
        self.next_ticket = 1

    def start(self, first_ticket: int) -> None:
        """Start empty, with tickets that no earlier dispatcher has used."""
        self.calls.clear()
        self.ended_s.clear()
        self.next_ticket = first_ticket

    def add(self, entry: str, call: DispatchCall, now_s: float) -> int:
        """Queue a request and return its ticket."""
        ticket = self.next_ticket
        self.next_ticket += 1
        max_wait_s = max_queue_wait_s(self.settings, call)
        improve_s = min(self.settings.max_wait_ratio * call.goal_s, max_wait_s)
        self.calls[ticket] = QueuedCall(entry, call, now_s, now_s + improve_s, now_s + max_wait_s)
        return ticket

    def remove(self, ticket: int) -> QueuedCall | None:
        """Remove a request that is decided or whose caller disconnected."""
        return self.calls.pop(ticket, None)

    def in_order(self, now_s: float) -> list[tuple[int, QueuedCall]]:
        """Return tickets and requests in the order in which they are placed."""
        return sorted(self.calls.items(), key=lambda item: item[1].rank(now_s))

    def record_ended(self, service: str, now_s: float) -> None:
        """Count the end of a send, which lets a queued request start."""
        self.ended_s.setdefault(service, deque()).append(now_s)
        self._count_ended(service, now_s)

    def is_full(self, call: DispatchCall, slots: int, now_s: float, held: int = 0) -> bool:
        """Whether a further request would not be placed before its wait ends.

        Parameters
        ----------
        call : DispatchCall
            The further request.
        slots : int
            Slots of all upstreams of its service; half of them may wait until sends have ended.
        now_s : float
            Monotonic clock in seconds.
        held : int
            Number of queued requests of the service that do not wait for a free upstream.
        """
        max_wait_s = max_queue_wait_s(self.settings, call)
        if max_wait_s <= 0:
            return True
        if call.attempt > 1:
            return False
        if self._count_ended(call.service, now_s) > 0:
            return self.predict_wait_s(call.service, now_s, held) > max_wait_s
        return self.count(call.service) - held >= max(1, slots // 2)

    def predict_wait_s(self, service: str, now_s: float, held: int = 0) -> float:
        """Predict how long a request would wait; 0 if no send has ended recently."""
        rate = self._count_ended(service, now_s) / END_RATE_WINDOW_S
        return (self.count(service) - held + 1) / rate if rate > 0 else 0.0

    def count(self, service: str) -> int:
        """Return the number of queued requests of a service."""
        return sum(1 for queued in self.calls.values() if queued.call.service == service)

    def _count_ended(self, service: str, now_s: float) -> int:
        """Count the sends of a service that ended within the rate window, and drop older ones."""
        ended_s = self.ended_s.get(service)
        if ended_s is None:
            return 0
        while ended_s and ended_s[0] < now_s - END_RATE_WINDOW_S:
            ended_s.popleft()
        return len(ended_s)
