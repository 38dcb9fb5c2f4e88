"""Exchange of upstream reports between the cores."""

from collections.abc import Callable

from laburnumrock.dispatch import UpstreamReport
from laburnumrock.nodes._messages import UpstreamNews
from laburnumrock.transport import PeerNetwork

REPORT_RESEND_DELAYS_S = (0.3, 0.7, 1.2)
"""Delays after which a change of an upstream is sent to the other cores again; all are within the
2 s after which a draining upstream must get no new requests."""


class ReportExchange:
    """Sends the reports that a core received to the other cores, in batches.

    Parameters
    ----------
    instance_id : str
        Name of this core.
    network : PeerNetwork
        Links to the other cores.
    list_cores : callable
        Returns the names of all cores.
    """

    def __init__(
        self, instance_id: str, network: PeerNetwork, list_cores: Callable[[], list[str]]
    ) -> None:
        self.instance_id = instance_id
        self.network = network
        self.list_cores = list_cores
        self.pending: list[UpstreamReport] = []
        self.resends: list[tuple[float, UpstreamReport]] = []

    def add(self, report: UpstreamReport) -> None:
        """Add a report to the next batch."""
        self.pending.append(report)

    def send_change(self, report: UpstreamReport, now_s: float) -> None:
        """Send the batch with a change at once, and the change again in case a link breaks."""
        self.resends += [(now_s + delay_s, report) for delay_s in REPORT_RESEND_DELAYS_S]
        self.send_batch(now_s)

    def send_departure(self, upstream_id: str) -> None:
        """Send the departure of an upstream that this core does not know."""
        self._send(UpstreamNews([], [upstream_id]))

    def send_batch(self, now_s: float) -> None:
        """Send the reports since the last batch, and the changes that are due again."""
        self.pending += [report for due_s, report in self.resends if due_s <= now_s]
        self.resends = [resend for resend in self.resends if resend[0] > now_s]
        if self.pending:
            message, self.pending = UpstreamNews(self.pending), []
            self._send(message)

    def _send(self, message: UpstreamNews) -> None:
        for core in self.list_cores():
            if core != self.instance_id:
                self.network.send(core, message)
