"""Which instances are certainly dead, as seen from one instance."""

from collections import deque
from dataclasses import dataclass, field

# Longer than a lost digest, an unlucky probe or a short freeze of this instance.
DEAD_FOR_S = 3.0
# Evidence about another failure domain that a single outdated digest cannot give.
DIGESTS_NEEDED = 3
# Older digests say nothing about now.
DIGEST_MAX_AGE_S = 10.0


@dataclass(slots=True)
class _Domain:
    """Times of the last digests of a failure domain."""

    times: deque[float] = field(default_factory=lambda: deque(maxlen=DIGESTS_NEEDED))


class DeadInstanceDetector:
    """Collects reports of live instances and tells who has been dead long enough.

    Parameters
    ----------
    domains : dict of str to list of str
        Instances by failure domain.
    own_domain : str
        Failure domain whose members this instance probes itself.
    now_s : float
        Clock reading in seconds; nobody is dead before `DEAD_FOR_S` have passed since.

    Notes
    -----
    An instance is certainly dead when nobody has reported it live for `DEAD_FOR_S`. In the own
    domain the probes report, all the time. In another domain its digests report: there must be
    `DIGESTS_NEEDED` recent ones from the time since the last report. A domain without recent
    digests is cut off, and nothing is known about it. One digest that lists the instance, or comes
    from it, outweighs all others, because a domain may be split.
    """

    def __init__(self, domains: dict[str, list[str]], own_domain: str, now_s: float) -> None:
        self.domains = domains
        self.own_domain = own_domain
        self.last_live_s = {name: now_s for names in domains.values() for name in names}
        self.digests = {domain: _Domain() for domain in domains}
        self.observed_s = now_s

    def observe_own_domain(self, live: list[str], now_s: float) -> None:
        """Take over the live members of the own domain; to be called every second or so."""
        if now_s - self.observed_s > DEAD_FOR_S:
            # This instance was frozen, and its view is as old as the freeze is long.
            self.last_live_s = dict.fromkeys(self.last_live_s, now_s)
        self.observed_s = now_s
        self._note_live(live, now_s)

    def observe_digest(self, domain: str, sender: str, live: list[str], now_s: float) -> None:
        """Take over the live members of another domain as one of its instances sees them."""
        if domain not in self.digests or domain == self.own_domain:
            return
        self.digests[domain].times.append(now_s)
        self._note_live([sender, *live], now_s)

    def is_dead(self, instance_id: str, now_s: float) -> bool:
        """Return whether an instance is certainly dead; unknown instances are not."""
        last_live_s = self.last_live_s.get(instance_id)
        if last_live_s is None or now_s - last_live_s < DEAD_FOR_S:
            return False
        domain = self._find_domain(instance_id)
        if domain == self.own_domain:
            return True
        times = self.digests[domain].times
        if len(times) < DIGESTS_NEEDED or now_s - times[-1] > DIGEST_MAX_AGE_S:
            return False
        return times[0] > last_live_s

    def _note_live(self, names: list[str], now_s: float) -> None:
        for name in names:
            if name in self.last_live_s:
                self.last_live_s[name] = now_s

    def _find_domain(self, instance_id: str) -> str:
        return next(domain for domain, names in self.domains.items() if instance_id in names)
