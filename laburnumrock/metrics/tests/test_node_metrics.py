"""Tests of the Prometheus metrics of a node."""

from laburnumrock.metrics import NodeMetrics


class TestNodeMetrics:
    def test_text(self):
        """Guards against output that is not in the Prometheus text format."""
        metrics = NodeMetrics()
        metrics.requests.labels("one", "short", "200").inc()
        metrics.first_event.labels("one", "short").observe(0.15)
        text = metrics.render().decode()
        assert 'laburnumrock_requests_total{account="one",length="short",status="200"} 1.0' in text
        assert 'laburnumrock_first_event_seconds_bucket{account="one",le="0.2"' in text
