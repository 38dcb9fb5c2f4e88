"""Detection of instances that are certainly dead, as seen from one instance."""

from collections import deque
from dataclasses import dataclass, field

# Long enough to tolerate a lost digest, a failed probe or a short freeze of this instance.
DEAD_AFTER_S = 3.0
# More than one, since a single outdated digest proves nothing about another failure domain.
MIN_DIGESTS = 3
# Older digests do not reflect the current state of the failure domain.
DIGEST_MAX_AGE_S = 10.0


@dataclass(slots=True)
class _DigestTimes:
    """Arrival times of the latest digests of a failure domain."""

    times: deque[float] = field(default_factory=lambda: deque(maxlen=MIN_DIGESTS))


class DeadInstanceDetector:
    """Collects reports of live instances and decides which instances are certainly dead.

    Parameters
    ----------
    domains : dict of str to list of str
        Instances by failure domain.
    own_domain : str
        Failure domain of this instance, whose members it probes.
    now_s : float
        Clock reading in seconds; no instance is dead before `DEAD_AFTER_S` after it.

    Notes
    -----
    An instance is certainly dead if nothing has reported it live for `DEAD_AFTER_S`. In the failure
    domain of this instance, the reports come from continuous probing. In another failure domain
    they come from its digests: at least `MIN_DIGESTS` must have arrived since the last live
    report, the latest of them recently. A failure domain without recent digests is unreachable, and
    its instances are in an unknown state. A single digest that lists the instance, or was sent by
    it, outweighs all others, because a network partition may split a failure domain.
    """

    def __init__(self, domains: dict[str, list[str]], own_domain: str, now_s: float) -> None:
        self.domains = domains
        self.own_domain = own_domain
        self.last_live_s = {name: now_s for names in domains.values() for name in names}
        self.digests = {domain: _DigestTimes() for domain in domains}
        self.own_domain_observed_s = now_s

    def observe_own_domain(self, live: list[str], now_s: float) -> None:
        """Record the live members of the own failure domain; call this about every second."""
        if now_s - self.own_domain_observed_s > DEAD_AFTER_S:
            # This instance was frozen, so its view is outdated by the length of the freeze.
            self.last_live_s = dict.fromkeys(self.last_live_s, now_s)
        self.own_domain_observed_s = now_s
        self._record_live(live, now_s)

    def observe_digest(self, domain: str, sender: str, live: list[str], now_s: float) -> None:
        """Record the live members of another failure domain, as one of its instances sees them."""
        if domain not in self.digests or domain == self.own_domain:
            return
        self.digests[domain].times.append(now_s)
        self._record_live([sender, *live], now_s)

    def is_dead(self, instance_id: str, now_s: float) -> bool:
        """Return whether an instance is certainly dead; False for an unknown instance."""
        last_live_s = self.last_live_s.get(instance_id)
        if last_live_s is None or now_s - last_live_s < DEAD_AFTER_S:
            return False
        domain = self._find_domain(instance_id)
        if domain == self.own_domain:
            return True
        times = self.digests[domain].times
        if len(times) < MIN_DIGESTS or now_s - times[-1] > DIGEST_MAX_AGE_S:
            return False
        return times[0] > last_live_s

    def _record_live(self, names: list[str], now_s: float) -> None:
        for name in names:
            if name in self.last_live_s:
                self.last_live_s[name] = now_s

    def _find_domain(self, instance_id: str) -> str:
        return next(domain for domain, names in self.domains.items() if instance_id in names)
