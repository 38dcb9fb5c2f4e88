"""Upstreams with their services, loads and health, as one decider sees them."""

from collections.abc import Iterator
from dataclasses import dataclass

from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamEntry
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._engine_model import EngineModel
from laburnumrock.dispatch._load import UpstreamLoad
from laburnumrock.dispatch._messages import DispatchCall, UpstreamState
from laburnumrock.routing import RouteSet, Service

OUTPUT_TOKENS_WEIGHT = 10.0
"""An output token costs about as much as ten prompt tokens."""
RECENT_S = 0.25
"""Time for the ledger of a new dispatcher to fill before cold upstreams get requests."""
COLD_RATE_SHARE = 0.8
"""Share of the rate that a cold upstream bears which is used."""


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Bounds that hold over all instances.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s : float
        Budget of repeated sends for each service.
    expiry_s, retention_s : float, > 0
        As in `UpstreamDirectory`.
    stale_after_s : float, > 0
        An upstream that was not heard for this long gets work only if there is no other.
    hold_share : float
        Part of its goal for which a request may wait for a free upstream.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    expiry_s: float = 4.0
    stale_after_s: float = 2.0
    retention_s: float = 30.0
    hold_share: float = 0.5


UpstreamPair = tuple[UpstreamEntry, UpstreamLoad]


class Fleet:
    """State of all upstreams.

    Parameters
    ----------
    settings : DispatchSettings
        Bounds.
    directory : UpstreamDirectory
        Reports of the upstreams.
    """

    def __init__(self, settings: DispatchSettings, directory: UpstreamDirectory) -> None:
        self.settings = settings
        self.directory = directory
        self.services: dict[str, Service] = {}
        self.models: dict[str, EngineModel] = {}
        self.drained: set[str] = set()
        self.loads: dict[str, UpstreamLoad] = {}
        self.unresponsive: dict[str, DomainHealth] = {}
        self.started_s = 0.0

    def start(self, now_s: float) -> None:
        """Forget the loads."""
        self.loads.clear()
        self.unresponsive.clear()
        self.started_s = now_s

    def set_routes(self, routes: RouteSet) -> None:
        """Take over the declared services."""
        services = {service.name: service for service in routes.services}
        for name, service in services.items():
            if service.engine is None:
                self.models.pop(name, None)
            elif self.services.get(name) != service or name not in self.models:
                self.models[name] = EngineModel(service.engine)
        self.services = services

    def find_load(self, entry: UpstreamEntry) -> UpstreamLoad:
        """Return the load of an upstream."""
        report = entry.report
        load = self.loads.get(report.upstream_id)
        if load is None:
            load = UpstreamLoad(self.models.get(report.service), report.slots)
            self.loads[report.upstream_id] = load
        load.slots = report.slots
        load.model = self.models.get(report.service)
        return load

    def find_candidates(self, call: DispatchCall, now_s: float) -> Iterator[list[UpstreamPair]]:
        """Yield the upstreams that may get a request, and those that may if these are full.

        Notes
        -----
        The second group missed a report; most of them answer. Those that did not respond to a
        send, and the others of a domain that is probably cut off, cost a request its patience, so
        that they come last and only if there are no others; a full engine is free again sooner.
        """
        usable: list[UpstreamPair] = []
        late: list[UpstreamPair] = []
        unresponsive: list[UpstreamPair] = []
        for entry in self.directory.usable(call.service, now_s):
            name = entry.report.upstream_id
            if entry.report.failure_domain in self.drained or name in call.excluded:
                continue
            load = self.find_load(entry)
            if not self.bears_cold(entry, load, now_s):
                continue
            load.advance(now_s)
            if load.is_suspect(now_s) or self.is_cut_off(entry, now_s):
                group = unresponsive
            else:
                group = late if self.is_late(entry, now_s) else usable
            group.append((entry, load))
        yield usable
        yield late
        if not usable and not late:
            yield unresponsive

    def has_upstream(self, call: DispatchCall, now_s: float) -> bool:
        """Whether any upstream may get a request, now or once it has a free slot."""
        return any(
            entry.report.failure_domain not in self.drained
            and entry.report.upstream_id not in call.excluded
            for entry in self.directory.usable(call.service, now_s)
        )

    def serves(self, upstream_id: str, service: str) -> bool:
        """Whether an upstream belongs to a service."""
        entry = self.directory.entries.get(upstream_id)
        return entry is not None and entry.report.service == service

    def is_late(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether an upstream missed a report."""
        return now_s - entry.heard_s > self.settings.stale_after_s

    def is_cut_off(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether others of the failure domain of an upstream do not respond."""
        unresponsive = self.unresponsive.get(entry.report.failure_domain)
        return unresponsive is not None and unresponsive.is_cut_off(now_s)

    def fell_silent(self, upstream_id: str, now_s: float) -> bool:
        """Whether an upstream left or missed reports."""
        entry = self.directory.entries.get(upstream_id)
        if entry is None or entry.report.state is UpstreamState.GONE:
            return True
        return self.is_late(entry, now_s)

    def note_alive(self, upstream_id: str, now_s: float) -> None:
        """Record a sign of life."""
        self.directory.note_alive(upstream_id, now_s)
        entry = self.directory.entries.get(upstream_id)
        if entry is not None:
            self.unresponsive.pop(entry.report.failure_domain, None)

    def note_unresponsive(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream did not respond."""
        load = self.loads.get(upstream_id)
        entry = self.directory.entries.get(upstream_id)
        if load is None or entry is None:
            return
        load.note_unresponsive(now_s)
        health = self.unresponsive.setdefault(entry.report.failure_domain, DomainHealth())
        health.note_unresponsive(upstream_id, now_s)

    def bears_cold(self, entry: UpstreamEntry, load: UpstreamLoad, now_s: float) -> bool:
        """Whether a cold upstream bears one more request now."""
        if not entry.is_cold(now_s):
            return True
        service = self.services.get(entry.report.service)
        if service is None or service.cold_requests_per_s <= 0:
            return True
        if now_s - self.started_s < RECENT_S + 1.0:
            return False
        limit = max(1, int(COLD_RATE_SHARE * service.cold_requests_per_s))
        return load.cold_sends_in(1.0, now_s) < limit

    def count_cold(self, entry: UpstreamEntry, load: UpstreamLoad, now_s: float) -> None:
        """Count a send for the limit of a cold phase."""
        # Every send counts, so that an upstream that turns cold starts with what it just got.
        load.cold_sends_in(1.0, now_s)
        load.cold_sends.append(now_s)

    def find_value(self, service: str, prompt_tokens: int, output_tokens: int) -> float:
        """Return the worth of a request in means of its service."""
        model = self.models.get(service)
        if model is None or prompt_tokens <= 0:
            return 1.0
        usual = model.parameters
        mean = usual.mean_prompt_tokens + OUTPUT_TOKENS_WEIGHT * usual.mean_output_tokens
        size = prompt_tokens + OUTPUT_TOKENS_WEIGHT * output_tokens
        return max(0.3, size / max(mean, 1.0))
