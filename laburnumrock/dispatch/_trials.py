"""Requests with a part that may have crashed upstreams, which run one at a time.

Notes
-----
Answers the load pattern of a harmful part that arrives many times before its first crashes are
known. Sending all of these requests would crash as many engines, each with the sound requests on
it. One of them on an engine of its own tells as much, and breaks no other request.
"""

from dataclasses import dataclass, replace

from laburnumrock.dispatch._fleet import Fleet
from laburnumrock.dispatch._messages import DispatchCall
from laburnumrock.dispatch._queue import CallQueue
from laburnumrock.quarantine import CrashQuarantine

MAX_HELD_CALLS = 8
"""Maximum number of queued requests of a service that wait for the end of a trial. If their part is
harmful, all of them are refused in the end."""


@dataclass(frozen=True, slots=True)
class _Trial:
    """Send whose outcome shows whether its suspected parts are harmful."""

    upstream_id: str
    suspects: frozenset[str]


class PromptTrials:
    """Sends with suspected parts, and which other requests wait for them or avoid their engines.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Suspected parts.
    fleet : Fleet
        The upstreams.
    """

    def __init__(self, quarantine: CrashQuarantine, fleet: Fleet) -> None:
        self.quarantine = quarantine
        self.fleet = fleet
        self.trials: dict[int, _Trial] = {}

    def must_wait(self, call: DispatchCall) -> bool:
        """Whether a request shares a suspected part with a trial that has not ended."""
        if not self.trials:
            return False
        suspects = self.quarantine.find_suspects(call.parts)
        return any(not suspects.isdisjoint(trial.suspects) for trial in self.trials.values())

    def count_held(self, queue: CallQueue, service: str) -> int:
        """Return the number of queued requests of a service that wait for the end of a trial."""
        if not self.trials:
            return 0
        calls = [queued.call for queued in queue.calls.values()]
        return sum(call.service == service and self.must_wait(call) for call in calls)

    def separate(self, call: DispatchCall, now_s: float) -> DispatchCall:
        """Return a call that excludes the engines which would mix a trial with other requests.

        Notes
        -----
        The calling code falls back to the original call if there is no placement for this one.
        """
        avoided = [trial.upstream_id for trial in self.trials.values()]
        if self.quarantine.find_suspects(call.parts):
            usable = next(self.fleet.find_candidates(call, now_s))
            busy = [record.report.upstream_id for record, load in usable if load.sends]
            if len(busy) < len(usable):
                avoided += busy
        return replace(call, excluded=[*call.excluded, *avoided]) if avoided else call

    def start(self, permit: int, upstream_id: str, call: DispatchCall) -> None:
        """Record a send if its request contains suspected parts."""
        suspects = self.quarantine.find_suspects(call.parts)
        if suspects:
            self.trials[permit] = _Trial(upstream_id, suspects)

    def end(self, permit: int) -> None:
        """Record the end of a send."""
        self.trials.pop(permit, None)

    def clear(self) -> None:
        """Forget all trials."""
        self.trials.clear()
