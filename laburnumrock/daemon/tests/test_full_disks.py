"""Tests of voters whose disk refuses writes, or hangs, for a while."""

import asyncio
import random
import threading
import time

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.errors import ErrorKind
from laburnumrock.journal import ClaimOperation
from laburnumrock.replication import FakeDisk, LogStore, VoteAnswer
from laburnumrock.scenarios import make_loopback_settings
from laburnumrock.transport import PeerNetwork

KEY = b"k" * 32
VOTERS = ["a1", "b1", "c1"]
CLIENT = "a2"


class HangingDisk(FakeDisk):
    """Disk whose reads and syncs wait while it hangs."""

    def __init__(self):
        super().__init__()
        self.works = threading.Event()
        self.works.set()

    def read(self, name):
        self.works.wait()
        return super().read(name)

    def sync(self, name):
        self.works.wait()
        super().sync(name)


class BrokenDisk(FakeDisk):
    """Disk whose writes raise an error that is none of the operating system, once `broken`."""

    broken = False

    def append(self, name, data):
        if self.broken:
            raise RuntimeError("the data cannot be encoded")
        super().append(name, data)


class Cluster:
    """Three voters with simulated disks and a client without one."""

    def __init__(self, folder, disk_type=FakeDisk):
        self.settings = make_loopback_settings(folder, VOTERS, [CLIENT])
        self.disks = {name: disk_type() for name in VOTERS}
        for number, disk in enumerate(self.disks.values()):
            disk.rng = random.Random(number)
        self.networks = {}
        self.logs = {}
        self.proposed = 0

    async def start(self, name):
        network = PeerNetwork(self.settings[name], KEY)
        log = LogTask(self.settings[name], network, disk=self.disks.get(name))
        await network.start()
        assert (await log.start()).is_ok()
        self.networks[name] = network
        self.logs[name] = log

    async def stop(self, name):
        started_s = time.monotonic()
        await self.logs.pop(name).stop()
        await self.networks.pop(name).stop()
        return time.monotonic() - started_s

    async def find_leader(self):
        while True:
            for name, log in self.logs.items():
                if log.is_leader:
                    return name
            await asyncio.sleep(0.02)

    async def commit(self, name=CLIENT, timeout_s=4.0):
        """Commit a claim through an instance, and return the result and the duration."""
        self.proposed += 1
        started_s = time.monotonic()
        claim = ClaimOperation(
            "acme", f"k{self.proposed}", "f", f"c{self.proposed}", name, "p", 1.0
        )
        result = await self.logs[name].propose(claim, timeout_s)
        return result, time.monotonic() - started_s

    async def expect_same_state(self, timeout_s=3.0):
        """Wait until all voters have applied the same commands, and check what they stored."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            states = {log.state.snapshot() for name, log in self.logs.items() if name in VOTERS}
            if len(states) == 1:
                break
            assert time.monotonic() < deadline_s, "the voters do not catch up"
            await asyncio.sleep(0.05)
        leader = self.logs[await self.find_leader()].runner.node
        for name in VOTERS:
            copy = FakeDisk()
            copy.durable = dict(self.disks[name].durable)
            stored = LogStore(copy).load(lambda: "none").unwrap()
            node = self.logs[name].runner.node
            assert (stored.voter_id, stored.term) == (node.voter_id, node.term)
            assert stored.entries == node.log.entries
            assert stored.entries[-1].index == leader.log.last_index


def run(folder, scenario, disk_type=FakeDisk):
    async def body():
        cluster = Cluster(folder, disk_type)
        for name in cluster.settings:
            await cluster.start(name)
        try:
            await cluster.commit(timeout_s=10.0)
            await scenario(cluster)
        finally:
            for disk in cluster.disks.values():
                disk.full = False
            for name in list(cluster.logs):
                await cluster.stop(name)

    asyncio.run(body())


class TestFullDisk:
    """The disk of a voter refuses writes and has room again later."""

    def test_one_voter_after_another(self, tmp_path):
        """Guards against a voter that gives up for good after a refused write."""

        async def scenario(cluster):
            for _ in range(2):
                for name in VOTERS:
                    cluster.disks[name].full = True
                    for _ in range(3):
                        result, _ = await cluster.commit()
                        assert result.is_ok()
                    await asyncio.sleep(0.4)
                    assert not cluster.logs[name].is_leader
                    assert not cluster.logs[name].has_failed
                    cluster.disks[name].full = False
                    await asyncio.sleep(0.6)
            await cluster.commit()
            await cluster.expect_same_state()

        run(tmp_path, scenario)

    def test_leader_hands_over_at_once(self, tmp_path):
        """Guards against an election timeout, or a lost change, when the leader cannot write."""

        async def scenario(cluster):
            for _ in range(3):
                leader = await cluster.find_leader()
                cluster.disks[leader].full = True
                result, _ = await cluster.commit(leader)
                assert result.is_ok()
                assert not cluster.logs[leader].is_leader
                assert (await cluster.logs[leader].read_confirmed(0.5)).is_err()
                cluster.disks[leader].full = False
                await asyncio.sleep(0.6)
                assert (await cluster.logs[leader].read_confirmed(1.0)).is_ok()
            await cluster.expect_same_state()

        run(tmp_path, scenario)

    def test_loss_of_leadership_is_reported(self, tmp_path):
        """Guards against work that a leader holds until its disk takes the term that deposed it."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            log = cluster.logs[leader]
            roles = []
            log.on_role_changed(lambda: roles.append(log.is_leader))
            cluster.disks[leader].full = True
            node = log.runner.node
            other = next(voter for voter in node.members.voters if voter != node.voter_id)
            log.runner.receive(
                node.members.voters[other], VoteAnswer(node.term + 1, other, node.voter_id, False)
            )
            await asyncio.sleep(0.2)
            assert log.is_storage_unavailable
            assert roles[-1:] == [False]

        run(tmp_path, scenario)

    def test_two_voters_at_once(self, tmp_path):
        """Guards against commits without a quorum, and a group that needs a restart afterwards."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            other = next(name for name in VOTERS if name != leader)
            for name in (leader, other):
                cluster.disks[name].full = True
            result, _ = await cluster.commit(timeout_s=1.5)
            assert result.unwrap_err().kind in (
                ErrorKind.OUTCOME_UNKNOWN,
                ErrorKind.QUORUM_UNAVAILABLE,
            )
            result, _ = await cluster.commit(timeout_s=1.0)
            assert result.unwrap_err().kind is ErrorKind.QUORUM_UNAVAILABLE
            for name in (leader, other):
                cluster.disks[name].full = False
            result, duration_s = await cluster.commit()
            assert result.is_ok()
            assert duration_s < 3.0
            await cluster.expect_same_state()

        run(tmp_path, scenario)

    def test_start_on_a_full_disk(self, tmp_path):
        """Guards against a voter that does not start, or not join, since its disk is full."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            name = next(name for name in VOTERS if name != leader)
            for content in ("torn", "empty"):
                await cluster.stop(name)
                disk = cluster.disks[name]
                if content == "torn":
                    disk.durable["log"] += b"LRF1\xff\x00"
                else:
                    disk.durable.clear()
                disk.full = True
                await cluster.start(name)
                assert (await cluster.commit())[0].is_ok()
                assert (await cluster.commit(name))[0].is_ok()
                assert cluster.logs[name].is_storage_unavailable
                assert (await cluster.logs[name].read_confirmed(0.5)).is_err()
                disk.full = False
                await asyncio.sleep(0.6)
                assert not cluster.logs[name].is_storage_unavailable
                if content == "empty":
                    assert (await cluster.logs[CLIENT].change_voters("add", name)).is_ok()
                    await asyncio.sleep(1.0)
            await cluster.commit()
            await cluster.expect_same_state()

        run(tmp_path, scenario)

    def test_corrupt_log_found_late_is_fatal(self, tmp_path):
        """Guards against a voter that goes on with a damaged log once its disk answers."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            name = next(name for name in VOTERS if name != leader)
            await cluster.stop(name)
            disk = cluster.disks[name]
            disk.durable.clear()
            disk.full = True
            await cluster.start(name)
            disk.durable["vote"] = b"damaged"
            disk.full = False
            failure = await asyncio.wait_for(cluster.logs[name].wait_until_failed(), 2.0)
            assert failure.kind is ErrorKind.STORAGE_CORRUPT

        run(tmp_path, scenario)


class TestOtherFaults:
    """Faults of a disk that are no refused writes."""

    def test_other_errors_stay_fatal(self, tmp_path):
        """Guards against a voter that goes on after an error that no retry can mend."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            cluster.disks[leader].broken = True
            assert (await cluster.commit())[0].is_ok()
            failure = await asyncio.wait_for(cluster.logs[leader].wait_until_failed(), 1.0)
            assert "RuntimeError: the data cannot be encoded" in str(failure)
            assert not cluster.logs[leader].is_leader

        run(tmp_path, scenario, BrokenDisk)

    def test_stop_while_the_disk_hangs(self, tmp_path):
        """Guards against a stop that waits for a disk, or a thread that keeps the process alive."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            disk = cluster.disks[leader]
            disk.works.clear()
            # A stop that waits for the disk blocks the event loop, so a thread ends the wait.
            watchdog = threading.Timer(8.0, disk.works.set)
            watchdog.start()
            try:
                assert (await cluster.commit())[0].is_ok()
                assert await asyncio.wait_for(cluster.stop(leader), 3.0) < 2.0
                threads = [one for one in threading.enumerate() if one.name.startswith("log-disk")]
                assert all(thread.daemon for thread in threads)
            finally:
                watchdog.cancel()
                disk.works.set()

        run(tmp_path, scenario, HangingDisk)

    def test_start_while_the_disk_hangs(self, tmp_path):
        """Guards against ports that stay closed, or a voter that stays away, after a start."""

        async def scenario(cluster):
            leader = await cluster.find_leader()
            name = next(name for name in VOTERS if name != leader)
            await cluster.stop(name)
            cluster.disks[name].works.clear()
            try:
                await asyncio.wait_for(cluster.start(name), 3.0)
                assert cluster.logs[name].is_storage_unavailable
                assert (await cluster.commit(name))[0].is_ok()
            finally:
                cluster.disks[name].works.set()
            await cluster.commit()
            await cluster.expect_same_state()

        run(tmp_path, scenario, HangingDisk)
