"""Upstreams with their services, loads and health, as seen by one dispatcher."""

from collections.abc import Iterator

from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamRecord
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._engine_model import EngineModel
from laburnumrock.dispatch._limits import DispatchSettings
from laburnumrock.dispatch._load import UpstreamLoad
from laburnumrock.dispatch._messages import DispatchCall, UpstreamState
from laburnumrock.dispatch._request_limits import RequestLimits
from laburnumrock.routing import RouteSet, Service

OUTPUT_TOKENS_WEIGHT = 10.0
"""Cost of an output token in prompt tokens, approximately."""
SEND_ADOPTION_S = 0.25
"""Time for a new dispatcher to learn of the active sends before it uses cold upstreams."""
COLD_RATE_SHARE = 0.8
"""Share of a cold upstream's rate limit that is used."""


UpstreamPair = tuple[UpstreamRecord, UpstreamLoad]


class Fleet:
    """State of all upstreams.

    Parameters
    ----------
    settings : DispatchSettings
        Limits for all instances together.
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
        self.domain_health: dict[str, DomainHealth] = {}
        self.limits = RequestLimits()
        self.started_s = 0.0

    def start(self, now_s: float) -> None:
        """Discard the loads and the health of failure domains, but keep the stated limits."""
        self.loads.clear()
        self.domain_health.clear()
        self.limits.restart(now_s)
        self.started_s = now_s

    def set_routes(self, routes: RouteSet) -> None:
        """Apply the declared services."""
        services = {service.name: service for service in routes.services}
        for name, service in services.items():
            if service.engine is None:
                self.models.pop(name, None)
            elif self.services.get(name) != service or name not in self.models:
                self.models[name] = EngineModel(service.engine)
        self.services = services

    def find_load(self, record: UpstreamRecord) -> UpstreamLoad:
        """Return the load of an upstream, updated from its record."""
        report = record.report
        load = self.loads.get(report.upstream_id)
        if load is None:
            load = UpstreamLoad(self.models.get(report.service), report.slots)
            self.loads[report.upstream_id] = load
        load.slots = report.slots
        model = self.models.get(report.service)
        if load.model is not model:
            load.set_model(model)
        return load

    def find_candidates(self, call: DispatchCall, now_s: float) -> Iterator[list[UpstreamPair]]:
        """Yield groups of eligible upstreams, in order of preference.

        Notes
        -----
        The first group is healthy. The second one missed a report; most of these still answer.
        Ejected upstreams, and all others of a failure domain that is probably partitioned, come
        last and only if there are no others: a request would spend its time limit on them, while
        a full engine is free again sooner.
        """
        usable: list[UpstreamPair] = []
        stale: list[UpstreamPair] = []
        unresponsive: list[UpstreamPair] = []
        partitioned = self.find_partitioned(now_s)
        stale_before_s = now_s - self.settings.stale_after_s
        for record in self.directory.usable(call.service, now_s):
            report = record.report
            if report.failure_domain in self.drained or report.upstream_id in call.excluded:
                continue
            load = self.find_load(record)
            if now_s < record.cold_until_s and not self.has_cold_capacity(record, load, now_s):
                continue
            if self.limits.wait_s(report.upstream_id, now_s) > 0:
                continue
            if load.summary.pending:
                load.advance(now_s)
            if now_s < load.ejected_until_s or report.failure_domain in partitioned:
                unresponsive.append((record, load))
            elif record.last_seen_s < stale_before_s:
                stale.append((record, load))
            else:
                usable.append((record, load))
        yield usable
        yield stale
        if not usable and not stale:
            yield unresponsive

    def find_eligible(self, call: DispatchCall, now_s: float) -> Iterator[str]:
        """Yield the upstreams that may get a request, now or once they have capacity."""
        for record in self.directory.usable(call.service, now_s):
            report = record.report
            drained = report.failure_domain in self.drained
            if not drained and report.upstream_id not in call.excluded:
                yield report.upstream_id

    def serves(self, upstream_id: str, service: str) -> bool:
        """Whether an upstream belongs to a service."""
        record = self.directory.records.get(upstream_id)
        return record is not None and record.report.service == service

    def is_stale(self, record: UpstreamRecord, now_s: float) -> bool:
        """Whether the last sign of life of an upstream is older than the limit."""
        return now_s - record.last_seen_s > self.settings.stale_after_s

    def find_partitioned(self, now_s: float) -> set[str]:
        """Return the failure domains of which several upstreams do not respond."""
        return {
            domain for domain, health in self.domain_health.items() if health.is_partitioned(now_s)
        }

    def is_gone_or_stale(self, upstream_id: str, now_s: float) -> bool:
        """Whether an upstream left, is unknown or missed reports."""
        record = self.directory.records.get(upstream_id)
        if record is None or record.report.state is UpstreamState.GONE:
            return True
        return self.is_stale(record, now_s)

    def record_alive(self, upstream_id: str, now_s: float) -> None:
        """Record a sign of life and clear the suspicion against its failure domain."""
        self.directory.record_alive(upstream_id, now_s)
        record = self.directory.records.get(upstream_id)
        if record is not None:
            self.domain_health.pop(record.report.failure_domain, None)

    def record_unresponsive(self, upstream_id: str, now_s: float) -> None:
        """Eject an upstream that did not respond."""
        load = self.loads.get(upstream_id)
        record = self.directory.records.get(upstream_id)
        if load is None or record is None:
            return
        load.record_unresponsive(now_s)
        health = self.domain_health.setdefault(record.report.failure_domain, DomainHealth())
        health.record_unresponsive(upstream_id, now_s)

    def record_process_ended(self, upstream_id: str, now_s: float) -> None:
        """Eject an upstream whose process has ended; its failure domain is reachable."""
        load = self.loads.get(upstream_id)
        if load is not None:
            load.record_unresponsive(now_s)

    def has_cold_capacity(self, record: UpstreamRecord, load: UpstreamLoad, now_s: float) -> bool:
        """Whether an upstream is warm, or its cold rate limit allows one more request."""
        if not record.is_cold(now_s):
            return True
        service = self.services.get(record.report.service)
        if service is None or service.cold_requests_per_s <= 0:
            return True
        if now_s - self.started_s < SEND_ADOPTION_S + 1.0:
            return False
        limit = max(1, int(COLD_RATE_SHARE * service.cold_requests_per_s))
        return load.cold_sends_in(1.0, now_s) < limit

    def record_cold_send(self, record: UpstreamRecord, load: UpstreamLoad, now_s: float) -> None:
        """Count a send for the rate limit of cold upstreams."""
        # Sends to warm upstreams count too: if one turns cold, the limit includes its recent sends.
        load.cold_sends_in(1.0, now_s)
        load.cold_sends.append(now_s)

    def expire_limits(self, now_s: float) -> None:
        """Remove old limits of upstreams that are unknown; a new core learns of limits first."""
        oldest_s = now_s - self.settings.retention_s
        for name, limit in list(self.limits.by_upstream.items()):
            if name not in self.directory.records and limit.stated_s < oldest_s:
                self.limits.remove(name)

    def forget(self, upstream_id: str) -> None:
        """Discard what is known of the process of an upstream, which has ended."""
        self.loads.pop(upstream_id, None)
        self.limits.remove(upstream_id)

    def request_value(self, service: str, prompt_tokens: int, output_tokens: int) -> float:
        """Return the value of a request relative to the mean of its service."""
        model = self.models.get(service)
        if model is None or prompt_tokens <= 0:
            return 1.0
        parameters = model.parameters
        mean = parameters.mean_prompt_tokens + OUTPUT_TOKENS_WEIGHT * parameters.mean_output_tokens
        size = prompt_tokens + OUTPUT_TOKENS_WEIGHT * output_tokens
        return max(0.3, size / max(mean, 1.0))
