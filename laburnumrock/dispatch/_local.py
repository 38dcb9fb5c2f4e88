"""Choice of an upstream by an entry that reaches no dispatcher."""

import random

from laburnumrock.dispatch._budget import RepeatBudget
from laburnumrock.dispatch._directory import UpstreamEntry
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._fleet import DispatchSettings
from laburnumrock.dispatch._losses import spread_order
from laburnumrock.dispatch._messages import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind

LOCAL_SLACK_SHARE = 0.3
"""Part of the slack for repeated sends that entries may use on their own, all together."""
LONG_PROMPT_TOKENS = 30_000
"""A longer prompt counts as several requests when entries balance on their own."""
SHORT_END = 0.6
"""Part of the common order of engines that short prompts prefer; the rest is for long ones."""
OTHER_END_SENDS = 3
"""Requests that an engine counts as having when it stands at the other end of the order."""
OTHER_DOMAIN_SENDS = 4
"""Requests that an engine of another failure domain counts as having; an entry that reaches no
dispatcher is often cut off together with its domain."""
SUSPECT_S = 4.0
"""Time for which an entry avoids an upstream, or a domain, that did not respond; the entry finds a
dispatcher within a second once the cut ends."""


class LocalDispatcher:
    """Balances the requests of one entry over the upstreams of its last view.

    Parameters
    ----------
    settings : DispatchSettings
        Bounds over all instances.
    source : random.Random
        Breaks ties, so that entries do not choose alike.

    Notes
    -----
    It answers the pattern of an instance that is cut off from every dispatcher while callers and
    upstreams still reach it. Cold upstreams get nothing, since other instances cannot be asked.
    """

    def __init__(self, settings: DispatchSettings, source: random.Random) -> None:
        self.settings = settings
        self.source = source
        self.budget = RepeatBudget(0.0, 1.0, settings.retry_window_s)
        self.sends: dict[int, tuple[str, int]] = {}
        self.suspect_until_s: dict[str, float] = {}
        self.domains: dict[str, DomainHealth] = {}
        self.domain_of: dict[str, str] = {}
        # Entries draw from a wide range, so that a dispatcher can adopt the sends of all of them.
        self.next_permit = -source.getrandbits(48) - 1

    def share_budget(self, entries: int) -> None:
        """Divide the budget of repeated sends among the entries."""
        slack = LOCAL_SLACK_SHARE * self.settings.retry_slack
        self.budget.slack = max(1.0, slack / max(1, entries))

    def place(
        self, domain: str, upstreams: list[UpstreamEntry], call: DispatchCall, now_s: float
    ) -> DispatchAnswer:
        """Choose an upstream; permits have negative numbers.

        Parameters
        ----------
        domain : str
            Failure domain of this entry.
        upstreams : list of UpstreamEntry
            Usable upstreams of the service, without those of drained failure domains.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.
        """
        if call.arrivals > 0 and not self.budget.take_repeat(now_s):
            return DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value, retry_after_s=1.0)
        loads: dict[str, int] = {}
        for name, tokens in self.sends.values():
            loads[name] = loads.get(name, 0) + 1 + tokens // LONG_PROMPT_TOKENS
        best = None
        for entry in upstreams:
            name = entry.report.upstream_id
            if name in call.excluded or entry.is_cold(now_s):
                continue
            health = self.domains.get(entry.report.failure_domain)
            suspect = now_s < self.suspect_until_s.get(name, 0.0)
            suspect = suspect or (health is not None and health.is_cut_off(now_s, SUSPECT_S))
            far = entry.report.failure_domain != domain
            load = loads.get(name, 0) + OTHER_DOMAIN_SENDS * far
            if call.prompt_tokens:
                long = call.prompt_tokens > LONG_PROMPT_TOKENS
                load += OTHER_END_SENDS * (long != (spread_order(name) > SHORT_END))
            key = (suspect, load, self.source.random())
            if best is None or key < best[0]:
                best = (key, entry.report)
        if best is None:
            return DispatchAnswer(refusal=ErrorKind.NO_UPSTREAM.value, retry_after_s=1.0)
        report = best[1]
        permit = self.next_permit
        self.next_permit -= 1
        self.domain_of[report.upstream_id] = report.failure_domain
        self.sends[permit] = (report.upstream_id, call.prompt_tokens)
        return DispatchAnswer(permit, report.upstream_id, report.host, report.port, call.goal_s)

    def record_ended(self, message: SendEnded, now_s: float) -> None:
        """Take over that a send ended."""
        name, _ = self.sends.pop(message.permit, ("", 0))
        domain = self.domain_of.get(name, "")
        if message.outcome is SendOutcome.DONE:
            self.domains.pop(domain, None)
        elif message.outcome in (
            SendOutcome.UNREACHABLE,
            SendOutcome.SILENT,
            SendOutcome.BROKEN,
        ):
            self.suspect_until_s[name] = now_s + SUSPECT_S
            self.domains.setdefault(domain, DomainHealth()).note_unresponsive(name, now_s)
