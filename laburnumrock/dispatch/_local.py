"""Selection of an upstream by an entry node that cannot reach the dispatcher."""

import random
from collections.abc import Collection

from laburnumrock.dispatch._budget import RetryBudget
from laburnumrock.dispatch._directory import UpstreamRecord
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._limits import MAX_RETRY_S, MIN_RETRY_S, DispatchSettings
from laburnumrock.dispatch._messages import (
    ENDED_OUTCOMES,
    UNRESPONSIVE_OUTCOMES,
    DispatchAnswer,
    DispatchCall,
    SendEnded,
    SendOutcome,
)
from laburnumrock.dispatch._outcomes import record_parts, refuse_quarantined
from laburnumrock.dispatch._rank import engine_rank
from laburnumrock.dispatch._request_limits import RequestLimits
from laburnumrock.errors import ErrorKind
from laburnumrock.quarantine import CrashQuarantine

LOCAL_SLACK_SHARE = 0.3
"""Share of the retry slack that all entry nodes together may use without the dispatcher."""
LONG_PROMPT_TOKENS = 30_000
"""Longer prompts count as long, and as one more request for each multiple of this length."""
SHORT_PROMPT_RANK_LIMIT = 0.6
"""Short prompts prefer engines of a rank up to this one, and long prompts the others."""
RANK_PENALTY_SENDS = 3
"""Penalty, in requests, of an engine in the rank range that the prompt does not prefer."""
CROSS_DOMAIN_PENALTY_SENDS = 4
"""Penalty, in requests, of an engine in another failure domain; an entry node that cannot reach a
dispatcher is often partitioned together with its domain."""
EJECTION_S = 4.0
"""Time for which an entry node avoids an upstream, or a failure domain, that did not respond; the
node finds a dispatcher within a second once the partition ends."""

LIMIT_SHARE = 0.5
"""Share of a limit stated by an upstream that all entry nodes together use without the dispatcher.
In a partition, a dispatcher that other entry nodes still reach uses the whole limit as well."""
ALONE_GAP_S = 1.0
"""Time without a placement after which an entry node begins to place requests alone anew."""


class LocalDispatcher:
    """Balances the requests of one entry node over the upstreams in its last view.

    Parameters
    ----------
    settings : DispatchSettings
        Limits for all instances together.
    rng : random.Random
        Breaks ties, so that entry nodes do not all choose the same upstream.

    Notes
    -----
    Used while an instance is partitioned from every dispatcher but still reachable by callers and
    upstreams. Cold upstreams get no requests, since their rate limit can't be shared with other
    instances.
    """

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.budget = RetryBudget(0.0, 1.0, settings.retry_window_s)
        self.quarantine = CrashQuarantine(settings.quarantine)
        self.limits = RequestLimits(LIMIT_SHARE)
        self.placed_s = float("-inf")
        self.sends: dict[int, tuple[str, int]] = {}
        self.ejected_until_s: dict[str, float] = {}
        self.domain_health: dict[str, DomainHealth] = {}
        self.domain_by_upstream: dict[str, str] = {}
        # Random start in a wide range, so that permits of several entry nodes do not collide when a
        # dispatcher adopts their sends.
        self.next_permit = -rng.getrandbits(48) - 1

    def share_budget(self, entry_count: int, now_s: float) -> None:
        """Use an equal share among the entry nodes of the retry budget and of stated limits."""
        count = max(1, entry_count)
        slack = LOCAL_SLACK_SHARE * self.settings.retry_slack
        self.budget.slack = max(1.0, slack / count)
        self.limits.set_share(LIMIT_SHARE / count, now_s)

    def place(
        self,
        domain: str,
        upstreams: list[UpstreamRecord],
        call: DispatchCall,
        now_s: float,
        unreachable: Collection[str] = (),
    ) -> DispatchAnswer:
        """Choose an upstream; permit numbers are negative.

        Parameters
        ----------
        domain : str
            Failure domain of this entry node.
        upstreams : list of UpstreamRecord
            Usable upstreams of the service, without those of drained failure domains.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.
        unreachable : collection of str
            Failure domains that are probably partitioned from this node. Their upstreams get no
            requests: a caller that is refused at once can return, while one whose request may have
            run must not repeat it.
        """
        refusal = refuse_quarantined(self.quarantine, call, now_s)
        if refusal is not None:
            return refusal
        if call.arrivals > 0 and not self.budget.allows_retry(now_s):
            return DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value, retry_after_s=1.0)
        if now_s - self.placed_s > ALONE_GAP_S:
            # All entry nodes lose the dispatcher at the same time. Random levels spread the first
            # requests that they send to a limited upstream.
            self.limits.restart(now_s, self.rng.random)
        self.placed_s = now_s
        loads: dict[str, int] = {}
        for name, tokens in self.sends.values():
            loads[name] = loads.get(name, 0) + 1 + tokens // LONG_PROMPT_TOKENS
        best = None
        limited_s = float("inf")
        for record in upstreams:
            name = record.report.upstream_id
            if name in call.excluded or record.is_cold(now_s):
                continue
            if record.report.failure_domain in unreachable:
                continue
            wait_s = self.limits.wait_s(name, now_s)
            if wait_s > 0:
                limited_s = min(limited_s, wait_s)
                continue
            health = self.domain_health.get(record.report.failure_domain)
            ejected = now_s < self.ejected_until_s.get(name, 0.0)
            ejected = ejected or (health is not None and health.is_partitioned(now_s, EJECTION_S))
            other_domain = record.report.failure_domain != domain
            load = loads.get(name, 0) + CROSS_DOMAIN_PENALTY_SENDS * other_domain
            if call.prompt_tokens:
                long = call.prompt_tokens > LONG_PROMPT_TOKENS
                load += RANK_PENALTY_SENDS * (long != (engine_rank(name) > SHORT_PROMPT_RANK_LIMIT))
            key = (ejected, load, self.rng.random())
            if best is None or key < best[0]:
                best = (key, record.report)
        if best is None and limited_s < float("inf"):
            retry_s = round(min(max(limited_s, MIN_RETRY_S), MAX_RETRY_S), 2)
            return DispatchAnswer(
                refusal=ErrorKind.CONCURRENCY_LIMITED.value, retry_after_s=retry_s
            )
        if best is None:
            return DispatchAnswer(refusal=ErrorKind.NO_UPSTREAM.value, retry_after_s=1.0)
        report = best[1]
        if call.arrivals > 0:
            self.budget.try_take_retry(now_s)
        permit = self.next_permit
        self.next_permit -= 1
        self.domain_by_upstream[report.upstream_id] = report.failure_domain
        self.sends[permit] = (report.upstream_id, call.prompt_tokens)
        self.limits.take(report.upstream_id)
        return DispatchAnswer(permit, report.upstream_id, report.host, report.port, call.goal_s)

    def record_ended(self, message: SendEnded, now_s: float) -> None:
        """Release a send and record its outcome."""
        record_parts(self.quarantine, message, now_s, is_shared=False)
        name, _ = self.sends.pop(message.permit, ("", 0))
        domain = self.domain_by_upstream.get(name, "")
        if message.outcome is SendOutcome.DONE:
            self.domain_health.pop(domain, None)
        elif message.outcome in ENDED_OUTCOMES:
            self.ejected_until_s[name] = now_s + EJECTION_S
        elif message.outcome in UNRESPONSIVE_OUTCOMES:
            self.ejected_until_s[name] = now_s + EJECTION_S
            self.domain_health.setdefault(domain, DomainHealth()).record_unresponsive(name, now_s)
