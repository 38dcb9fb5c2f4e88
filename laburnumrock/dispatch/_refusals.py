"""Refusals of requests that no upstream can take in time.

Notes
-----
Answers load beyond the capacity of a service. A request that is known not to be served is refused
at once, with the predicted time at which it can be, so that its caller does not wait in vain.
"""

import random

from laburnumrock.dispatch._fleet import Fleet
from laburnumrock.dispatch._limits import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    client_timeout_s,
    max_queue_wait_s,
)
from laburnumrock.dispatch._messages import DispatchAnswer, DispatchCall
from laburnumrock.dispatch._queue import CallQueue
from laburnumrock.dispatch._trials import PromptTrials
from laburnumrock.errors import ErrorKind

NO_UPSTREAM_RETRY_S = 2.0
"""Retry delay for requests to a service without upstreams, which report about every second, also
after all of them were lost."""


class CallRefusals:
    """Decides whether a request is refused, and when its caller should come back.

    Parameters
    ----------
    fleet : Fleet
        The upstreams.
    queue : CallQueue
        Requests that wait for a free upstream.
    trials : PromptTrials
        Requests that wait for the end of a trial.
    rng : random.Random
        Adds jitter to retry delays.
    """

    def __init__(
        self, fleet: Fleet, queue: CallQueue, trials: PromptTrials, rng: random.Random
    ) -> None:
        self.fleet = fleet
        self.queue = queue
        self.trials = trials
        self.rng = rng

    def refuse(self, kind: ErrorKind, retry_s: float) -> DispatchAnswer:
        """Return a refusal; the jitter keeps refused callers from returning at the same time."""
        jittered_s = round(retry_s * self.rng.uniform(0.7, 1.5), 2)
        return DispatchAnswer(refusal=kind.value, retry_after_s=max(MIN_RETRY_S, jittered_s))

    def refuse_unplaceable(self, call: DispatchCall, now_s: float) -> DispatchAnswer | None:
        """Return the refusal of a request that no upstream can take now, or None if it may wait."""
        if not any(self.fleet.find_eligible(call, now_s)):
            return self.refuse(ErrorKind.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        held = self.trials.count_held(self.queue, call.service)
        waiting = self.queue.count(call.service) - held
        eligible = self.fleet.find_eligible(call, now_s)
        limited_s = self.fleet.limits.predict_wait_s(eligible, waiting, now_s)
        if limited_s > max_queue_wait_s(self.fleet.settings, call):
            return self.refuse(ErrorKind.CONCURRENCY_LIMITED, min(MAX_RETRY_S, limited_s))
        if self.queue.is_full(call, self._count_slots(call.service), now_s, held):
            predicted_s = min(MAX_RETRY_S, self.queue.predict_wait_s(call.service, now_s, held))
            retry_s = max(0.5, call.goal_s, predicted_s)
            return self.refuse(ErrorKind.CONCURRENCY_LIMITED, retry_s)
        return None

    def refuse_late(
        self, first_s: float, call: DispatchCall, now_s: float
    ) -> DispatchAnswer | None:
        """Return the refusal of a request whose caller leaves before the first event, or None.

        Parameters
        ----------
        first_s : float
            Predicted time to the first event if the request is placed now.
        call : DispatchCall
            The request, which would wait for a better placement.
        now_s : float
            Monotonic clock in seconds.

        Notes
        -----
        While an engine has no free slot, the end of a stream may still make room earlier than the
        prediction, which covers only engines with free slots.
        """
        max_wait_s = max_queue_wait_s(self.fleet.settings, call)
        if first_s - max_wait_s <= client_timeout_s(call):
            return None
        usable = next(self.fleet.find_candidates(call, now_s))
        if any(load.free_slots <= 0 for _, load in usable):
            return None
        return self.refuse_unreachable(first_s)

    def refuse_unreachable(self, first_s: float) -> DispatchAnswer:
        """Return the refusal of a request whose first event would come after its caller left."""
        retry_s = min(MAX_RETRY_S, max(0.5, first_s / 2))
        return self.refuse(ErrorKind.DEADLINE_UNREACHABLE, retry_s)

    def _count_slots(self, service: str) -> int:
        """Return the number of slots of all known upstreams of a service."""
        return sum(
            load.slots
            for name, load in self.fleet.loads.items()
            if self.fleet.serves(name, service)
        )
