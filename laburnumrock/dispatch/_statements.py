"""What upstreams state of themselves in their responses, as one entry node has read it."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from laburnumrock.dispatch._limits import DispatchSettings
from laburnumrock.dispatch._messages import DispatchAnswer
from laburnumrock.errors import ErrorKind

DECLINED_RETRY_AFTER_S = 1.0
"""Retry delay if all upstreams of a service leave; new ones report within a second."""
RETURN_SPREAD_S = 0.5
"""Time over which the callers return once an upstream takes requests again."""
MAX_STATEMENTS = 1_000
"""Maximum number of upstreams that are avoided at a time; the first to end gives way."""


@dataclass(frozen=True, slots=True)
class UpstreamStatement:
    """Statement of an upstream that it wants no new requests.

    Parameters
    ----------
    upstream_id : str
        Upstream that responded.
    is_leaving : bool
        Whether the upstream ends once its requests in progress have ended.
    refusal_s : float, >= 0
        Time in seconds for which it wants no requests from this node; 0 if it states none.
    """

    upstream_id: str
    is_leaving: bool = False
    refusal_s: float = 0.0


class UpstreamStatements:
    """Upstreams to which this node sends no new requests, since they have said so.

    Parameters
    ----------
    settings : DispatchSettings
        Bounds of the time for which a statement counts.

    Notes
    -----
    A response counts for the node that has read it, with or without a dispatcher, from the moment
    it is read. A new incarnation of the upstream ends its statements, and so does time, so that no
    upstream is avoided for ever.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.leaving_until_s: dict[str, float] = {}
        self.refusing_until_s: dict[str, float] = {}

    def record(self, statement: UpstreamStatement, now_s: float) -> None:
        """Record a statement that has just been read."""
        name = statement.upstream_id
        if statement.is_leaving:
            _store(self.leaving_until_s, name, now_s + self.settings.max_leaving_s)
        if statement.refusal_s > 0:
            refusal_s = min(statement.refusal_s, self.settings.max_refusal_s)
            _store(self.refusing_until_s, name, now_s + refusal_s)

    def remove(self, upstream_id: str) -> None:
        """Forget the statements of an incarnation that has ended."""
        self.leaving_until_s.pop(upstream_id, None)
        self.refusing_until_s.pop(upstream_id, None)

    def list_avoided(self, now_s: float) -> list[str]:
        """Return the upstreams to which no new request is sent now."""
        for until_by_name in (self.leaving_until_s, self.refusing_until_s):
            for name in [name for name, until_s in until_by_name.items() if until_s <= now_s]:
                del until_by_name[name]
        return [*self.leaving_until_s, *(self.refusing_until_s.keys() - self.leaving_until_s)]

    def declines(self, answer: DispatchAnswer, now_s: float) -> bool:
        """Whether an upstream of a placement is to be avoided."""
        names = {answer.upstream_id, *(helper.upstream_id for helper in answer.helpers)}
        return answer.permit != 0 and not names.isdisjoint(self.list_avoided(now_s))

    def refuse(
        self, upstream_ids: Collection[str], rng: random.Random, now_s: float
    ) -> DispatchAnswer | None:
        """Return the refusal of a request that no upstream of its service takes, or None.

        Parameters
        ----------
        upstream_ids : collection of str
            Upstreams of the service.
        rng : random.Random
            Spreads the return of the refused callers over `RETURN_SPREAD_S`.
        now_s : float
            Monotonic clock in seconds.
        """
        avoided = self.list_avoided(now_s)
        if not upstream_ids or any(name not in avoided for name in upstream_ids):
            return None
        ends_s = [
            self.refusing_until_s[name] for name in upstream_ids if name not in self.leaving_until_s
        ]
        if not ends_s:
            return refuse_declined()
        retry_s = min(ends_s) - now_s + rng.uniform(0.0, RETURN_SPREAD_S)
        return DispatchAnswer(
            refusal=ErrorKind.CONCURRENCY_LIMITED.value, retry_after_s=round(retry_s, 2)
        )


def refuse_declined() -> DispatchAnswer:
    """Return the refusal of a request that all upstreams decline for an unknown time."""
    return DispatchAnswer(refusal=ErrorKind.NO_UPSTREAM.value, retry_after_s=DECLINED_RETRY_AFTER_S)


def _store(until_by_name: dict[str, float], name: str, until_s: float) -> None:
    until_by_name[name] = max(until_s, until_by_name.get(name, until_s))
    if len(until_by_name) > MAX_STATEMENTS:
        del until_by_name[min(until_by_name, key=until_by_name.get)]
