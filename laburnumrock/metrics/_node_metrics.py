"""Prometheus counters, gauges and histograms of a node."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0)
"""Bucket bounds; denser around the latency goals of routes, which lie between 0.1 and 4 s."""


class NodeMetrics:
    """Prometheus metrics of one process."""

    def __init__(self) -> None:
        self.registry = registry = CollectorRegistry(auto_describe=False)

        def count(name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
            """Create a counter in the registry of this process."""
            return Counter(f"laburnumrock_{name}", text, labels, registry=registry)

        def make_histogram(name: str, text: str, labels: tuple[str, ...] = ()) -> Histogram:
            return Histogram(
                f"laburnumrock_{name}_seconds",
                text,
                labels,
                buckets=LATENCY_BUCKETS_S,
                registry=registry,
            )

        by_class = ("account", "length")
        self.requests = count("requests", "Requests by final status", (*by_class, "status"))
        self.refusals = count("refusals", "Requests refused, by error kind", ("kind",))
        self.sends = count("sends", "Sends to upstreams by outcome", ("service", "outcome"))
        self.first_event = make_histogram("first_event", "Arrival to the first event", by_class)
        self.duration = make_histogram("duration", "Arrival to the end of the answer", by_class)
        self.longest_pause = make_histogram(
            "pause", "Longest pause between events of a stream", by_class
        )
        self.placement = make_histogram("placement", "Wait for a placement", ("decided_by",))
        self.commits = make_histogram("commit", "Commit of a change", ("change",))
        self.first_event_error_ratio = Histogram(
            "laburnumrock_first_event_error_ratio",
            "Measured over predicted time to the first event",
            registry=registry,
            buckets=(0.25, 0.5, 0.75, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0),
        )
        self.upstream_connections = count("channels_opened", "New connections to upstreams")
        self.runs = Gauge("laburnumrock_runs", "Requests under way", registry=registry)
        self.routes_version = Gauge(
            "laburnumrock_routes_version", "Version of the routes in force", registry=registry
        )
        self.quarantined = Gauge(
            "laburnumrock_quarantined_groups",
            "Groups of prompt parts whose requests are refused",
            registry=registry,
        )
        self.limited_upstreams = Gauge(
            "laburnumrock_limited_upstreams",
            "Upstreams that state a limit on their requests",
            registry=registry,
        )
        self.leading = Gauge("laburnumrock_leading", "1 while this core leads", registry=registry)
        self.storage_unavailable = Gauge(
            "laburnumrock_storage_unavailable",
            "1 while the disk of this core refuses access, so that it takes no part in the log",
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
