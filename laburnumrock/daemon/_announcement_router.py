"""Routing of upstream announcements from entry instances to the owners of their pools."""

import time
import typing

from laburnumrock.daemon._pool_runner import PoolRunner, find_pool_id
from laburnumrock.ownership import list_covering_shards
from laburnumrock.upstreams import (
    AnnouncementFetch,
    AnnouncementRelay,
    UpstreamAnnouncement,
    UpstreamBeat,
    apply_heartbeat,
)

if typing.TYPE_CHECKING:
    from laburnumrock.daemon._pool_task import PoolTask


class AnnouncementRouter:
    """Forwards announcements to pool owners and processes those for pools owned here.

    Parameters
    ----------
    pools : PoolTask
        Task that runs the pools owned by this instance.
    """

    def __init__(self, pools: "PoolTask") -> None:
        self.pools = pools
        self.relay = AnnouncementRelay()

    def register_handlers(self) -> None:
        """Register the handlers for announcement messages of other instances."""
        network = self.pools.network
        network.handle(UpstreamAnnouncement, self._receive_announcement)
        network.handle(UpstreamBeat, self._receive_heartbeat)
        network.handle(AnnouncementFetch, self._receive_fetch)

    def announce(self, announcement: UpstreamAnnouncement) -> None:
        """Forward the announcement of an upstream to the owner of its pool.

        Parameters
        ----------
        announcement : UpstreamAnnouncement
            Announcement received from an upstream in the local failure domain.
        """
        pool_id = self.pools.directory.record_announcement(
            find_pool_id(announcement), announcement.upstream_id, time.monotonic()
        )
        owner = self.pools.ownership.find_owner(pool_id)
        if owner is None:
            self.pools.timer.wake()
        else:
            self.pools.network.send(
                owner.instance_id, self.relay.build_message(announcement, owner)
            )

    def _receive_announcement(self, sender: str, message: UpstreamAnnouncement) -> None:
        now_s = time.monotonic()
        for shard in list_covering_shards(find_pool_id(message), message.upstream_id):
            runner = self.pools.find_runner(shard, now_s)
            if runner is not None:
                break
        if runner is not None:
            if message.upstream_id not in runner.upstreams:
                # Read the list of requests held by the new engine without delay.
                self.pools.timer.wake()
            self._observe(runner, message, now_s)

    def _receive_heartbeat(self, sender: str, message: UpstreamBeat) -> None:
        now_s = time.monotonic()
        for pool_id, runner in list(self.pools.runners.items()):
            record = runner.upstreams.get(message.upstream_id)
            if record is None or record.checksum != message.checksum:
                continue
            if self.pools.find_runner(pool_id, now_s) is runner:
                announcement = apply_heartbeat(record.announcement, message)
                self._observe(runner, announcement, now_s)
                return
        # The full announcement was lost, or pool ownership moved to this instance since;
        # request the full announcement again.
        self.pools.network.send(sender, AnnouncementFetch(message.upstream_id))

    def _observe(
        self, runner: PoolRunner, announcement: UpstreamAnnouncement, now_s: float
    ) -> None:
        for listener in self.pools.announcement_listeners:
            listener(announcement)
        self.pools.execute(runner, runner.observe(announcement, self.pools.view, now_s))

    def _receive_fetch(self, sender: str, message: AnnouncementFetch) -> None:
        self.relay.invalidate(message.upstream_id)
