"""Reads the history of declaration changes on any instance."""

from result import Err, Ok, Result

from laburnumrock.daemon._log_access import ReplicaAccess
from laburnumrock.declarations import HistoryAnswer, HistoryEntry, HistoryFetch
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

CALL_TIMEOUT_S = 1.0


class HistoryReader:
    """Reads the change history from the local replica, or from a voter if there is none.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    replica : ReplicaAccess, optional
        Replicated state; only present on a voter.
    """

    def __init__(
        self, settings: InstanceSettings, network: PeerNetwork, replica: ReplicaAccess | None
    ) -> None:
        self.settings = settings
        self.network = network
        self.replica = replica

    def register_handlers(self) -> None:
        """Register the handler for history requests of other instances."""
        self.network.handle(HistoryFetch, self._answer)

    async def read(self, limit: int) -> Result[list[HistoryEntry], Failure]:
        """Return the latest changes in chronological order.

        Fewer than `limit` changes are returned when they are large.
        """
        fetch = HistoryFetch(limit)
        local_answer = self._answer(self.settings.instance_id, fetch)
        if local_answer.entries is not None:
            return Ok(local_answer.entries)
        for peer in self.settings.voters():
            answer = await self.network.call(peer.instance_id, fetch, CALL_TIMEOUT_S)
            if answer.is_ok() and answer.unwrap().entries is not None:
                return Ok(answer.unwrap().entries)
        return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "no voter answers"))

    def _answer(self, sender: str, fetch: HistoryFetch) -> HistoryAnswer:
        if self.replica is None:
            return HistoryAnswer()
        return self.replica.store.query(fetch)
