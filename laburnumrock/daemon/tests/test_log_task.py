"""Tests of the log task and the operation client over loopback."""

import asyncio
import shutil
import time

from result import Err, Ok

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.declarations import ApplyChange
from laburnumrock.errors import ErrorKind, Failure, Outcome
from laburnumrock.journal import (
    RECONCILE_GRACE_S,
    OperationOutcome,
    OperationState,
    RecordedAnswer,
)
from laburnumrock.replication import Role
from laburnumrock.scenarios import make_loopback_settings
from laburnumrock.transport import PeerNetwork

KEY = b"k" * 32
VOTERS = ["a1", "b1", "c1"]
DEADLINE_S = 3.0


class _Cluster:
    def __init__(self, folder):
        self.settings = make_loopback_settings(folder, VOTERS, ["a2"])
        self.networks = {}
        self.logs = {}

    async def start(self, name):
        network = PeerNetwork(self.settings[name], KEY)
        log = LogTask(self.settings[name], network)
        await network.start()
        assert (await log.start()).is_ok()
        self.networks[name] = network
        self.logs[name] = log

    async def start_all(self):
        for name in self.settings:
            await self.start(name)

    async def stop(self, name):
        await self.logs.pop(name).stop()
        await self.networks.pop(name).stop()

    async def stop_all(self):
        for name in list(self.logs):
            await self.stop(name)

    def leader(self):
        return next((name for name, log in self.logs.items() if log.is_leader), None)


def _run(folder, scenario):
    async def body():
        cluster = _Cluster(folder)
        await cluster.start_all()
        try:
            return await scenario(cluster)
        finally:
            await cluster.stop_all()

    return asyncio.run(body())


class _FakeEngine:
    def __init__(self, result):
        self.result = result
        self.executions = 0

    async def dispatch(self):
        self.executions += 1
        return self.result


class TestLogTask:
    def test_operation_from_an_instance_without_a_disk_survives_a_restart(self, tmp_path):
        """The recorded answer must survive a restart of all voters and be replayed."""

        async def scenario(cluster):
            engine = _FakeEngine(Ok(RecordedAnswer(201, {"x": "y"}, b"booked")))
            client = OperationClient(cluster.settings["a2"], cluster.logs["a2"])
            first = await client.run("acme", "k", "f", 10.0, engine.dispatch)
            for name in VOTERS:
                await cluster.stop(name)
            for name in VOTERS:
                await cluster.start(name)
            second = await client.run("acme", "k", "f", 10.0, engine.dispatch)
            other = await client.run("acme", "k", "g", 10.0, engine.dispatch)
            return engine.executions, first.unwrap(), second.unwrap(), other.unwrap_err().kind

        executions, first, second, mismatch = _run(tmp_path, scenario)
        assert executions == 1
        assert (first.body, first.replayed) == (b"booked", False)
        assert (second.body, second.replayed) == (b"booked", True)
        assert mismatch is ErrorKind.IDEMPOTENCY_MISMATCH

    def test_without_a_quorum_the_refusal_is_timely_and_nothing_is_sent(self, tmp_path):
        """Without a quorum, nothing is sent and the refusal must come well before the deadline."""

        async def scenario(cluster):
            log = cluster.logs["a2"]
            assert (await log.read_confirmed(10.0)).is_ok()
            engine = _FakeEngine(Ok(RecordedAnswer(200)))
            client = OperationClient(cluster.settings["a2"], log)
            await cluster.stop("a1")
            await cluster.stop("b1")
            started_s = time.monotonic()
            result = await client.run("acme", "k", "f", 30.0, engine.dispatch)
            duration_s = time.monotonic() - started_s
            await client.stop()
            return engine.executions, result.unwrap_err(), duration_s

        executions, failure, duration_s = _run(tmp_path, scenario)
        assert executions == 0
        assert failure.kind is ErrorKind.JOURNAL_UNAVAILABLE
        assert failure.answer.outcome is Outcome.UNKNOWN
        assert duration_s < 6.0

    def test_cancelled_read_ends_without_a_quorum(self, tmp_path):
        """Guards against a stop that waits for a cancelled read until the time limit of the read.

        The read is cancelled at each pass of the event loop within its first call, as the end of
        the call must not hide the cancellation.
        """

        async def scenario():
            cluster = _Cluster(tmp_path)
            await cluster.start("a1")
            log = cluster.logs["a1"]
            results = []
            for passes in range(1, 20):
                task = asyncio.create_task(log.read_confirmed(1.0))
                for _ in range(passes):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.wait([task], timeout=0.3)
                results.append(task.cancelled())
                task.cancel()
                await asyncio.wait([task])
            await cluster.stop_all()
            return results

        assert all(asyncio.run(scenario()))

    def test_planned_stop_hands_leadership_over(self, tmp_path):
        """A graceful shutdown must transfer leadership instead of causing an election timeout."""

        async def scenario(cluster):
            assert (await cluster.logs["a2"].read_confirmed(10.0)).is_ok()
            old = cluster.leader()
            started_s = time.monotonic()
            await cluster.stop(old)
            stop_s = time.monotonic() - started_s
            read = await cluster.logs["a2"].read_confirmed(10.0)
            return old, cluster.leader(), read, stop_s, time.monotonic() - started_s

        old, new, read, stop_s, total_s = _run(tmp_path, scenario)
        assert new not in (None, old)
        assert read.is_ok()
        assert stop_s < 0.4
        assert total_s < 2.0

    def test_unknown_outcome_stays_until_reconciled(self, tmp_path):
        """A call must not be dispatched again after a broken connection.

        The owner may still send the call until its claim expires, so reconciling as "not run" is
        rejected until then.
        """

        async def scenario(cluster):
            engine = _FakeEngine(Err(Failure(ErrorKind.UPSTREAM_FAILED)))
            client = OperationClient(cluster.settings["a2"], cluster.logs["a2"])
            first = await client.run("acme", "k", "f", DEADLINE_S, engine.dispatch)
            second = await client.run("acme", "k", "f", DEADLINE_S, engine.dispatch)
            early = await client.reconcile("acme", "k", OperationOutcome.NOT_RUN, "ledger")
            assert not early.unwrap().accepted
            await asyncio.sleep(DEADLINE_S + RECONCILE_GRACE_S)
            await client.reconcile("acme", "k", OperationOutcome.NOT_RUN, "ledger")
            found = (await client.find("acme", "k")).unwrap()
            engine.result = Ok(RecordedAnswer(200))
            third = await client.run("acme", "k", "f", DEADLINE_S, engine.dispatch)
            return engine.executions, first, second, found, third

        executions, first, second, found, third = _run(tmp_path, scenario)
        assert first.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert second.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert (found.state, found.source) == (OperationState.NOT_RUN, "ledger")
        assert third.is_ok()
        assert executions == 2

    def test_lost_disk_is_replaced_by_an_operator_command(self, tmp_path):
        """A voter with a replaced disk must vote again only after the operator command."""

        async def scenario(cluster):
            log = cluster.logs["a2"]
            assert (await log.read_confirmed(10.0)).is_ok()
            old = cluster.logs["c1"].runner.node.voter_id
            await cluster.stop("c1")
            shutil.rmtree(tmp_path / "c1")
            await cluster.start("c1")
            await asyncio.sleep(1.0)
            before = cluster.logs["c1"].runner.node.has_log
            changed = await log.change_voters("add", "c1")
            new = cluster.logs["c1"].runner.node.voter_id
            deadline_s = time.monotonic() + 10.0
            while new not in cluster.logs["c1"].members.voters and time.monotonic() < deadline_s:
                await asyncio.sleep(0.05)
            return old, new, before, changed, cluster.logs["c1"].members.voters

        old, new, before, changed, voters = _run(tmp_path, scenario)
        assert not before
        assert changed.is_ok()
        assert new in voters
        assert old not in voters
        assert len(voters) == 3

    def test_change_of_voters_is_acknowledged_once_committed(self, tmp_path):
        """Guards against an operator who stops a voter whose removal is not committed."""

        async def scenario(cluster):
            assert (await cluster.logs["a2"].read_confirmed(10.0)).is_ok()
            leader = cluster.leader()
            others = [name for name in VOTERS if name != leader]
            await asyncio.gather(*(cluster.stop(name) for name in others))
            assert cluster.logs[leader].runner.node.role is Role.LEADER
            return await cluster.logs[leader].change_voters("remove", others[0], 0.3)

        failure = _run(tmp_path, scenario).unwrap_err()
        assert failure.answer.outcome is Outcome.UNKNOWN, "the removal may still be committed"

    def test_change_of_voters_without_a_leader_did_not_run(self, tmp_path):
        """Guards against an unknown outcome of a change that no leader has begun."""

        async def scenario(cluster):
            assert (await cluster.logs["a2"].read_confirmed(10.0)).is_ok()
            leader = cluster.leader()
            follower, other = (name for name in VOTERS if name != leader)
            await asyncio.gather(*(cluster.stop(name) for name in (leader, other)))
            node = cluster.logs[follower].runner.node
            deadline_s = time.monotonic() + 10.0
            while node.leader is not None and time.monotonic() < deadline_s:
                await asyncio.sleep(0.05)
            # The stopped instances may not be asked, as a call without an answer proves nothing.
            cluster.logs[follower].failed_call_s |= dict.fromkeys((leader, other), 1e18)
            return await cluster.logs[follower].change_voters("remove", other, 0.3)

        failure = _run(tmp_path, scenario).unwrap_err()
        assert failure.answer.outcome is Outcome.NOT_RUN

    def test_failed_log_stops_the_voter_and_not_the_others(self, tmp_path):
        """A voter must stop after an error of its log that is no refusal of the disk."""

        async def scenario(cluster):
            log = cluster.logs["a2"]
            assert (await log.read_confirmed(10.0)).is_ok()
            leader = cluster.leader()

            def fail():
                raise RuntimeError("the entry cannot be encoded")

            cluster.logs[leader].runner.store.sync = fail
            engine = _FakeEngine(Ok(RecordedAnswer(200)))
            client = OperationClient(cluster.settings["a2"], log)
            result = await client.run("acme", "k", "f", 20.0, engine.dispatch)
            failed = cluster.logs[leader].has_failed, cluster.logs[leader].is_leader
            if result.is_err():
                result = await client.run("acme", "k", "f", 20.0, engine.dispatch)
            await client.stop()
            return failed, result, engine.executions

        failed, result, executions = _run(tmp_path, scenario)
        assert failed == (True, False)
        assert result.is_ok()
        assert executions == 1

    def test_declarations_are_a_part(self, tmp_path):
        """Commands of the declarations part must reach it through the log."""

        async def scenario(cluster):
            change = ApplyChange("r1", 7, [], "operator", 0.0)
            return await cluster.logs["a2"].propose(change, 10.0)

        answer = _run(tmp_path, scenario).unwrap()
        assert (answer.request_id, answer.kind) == ("r1", ErrorKind.STALE_REVISION)

    def test_state_counts_every_confirmed_entry(self, tmp_path):
        """The replica must not wait forever for an entry without a command."""

        async def scenario(cluster):
            index = (await cluster.logs["a1"].read_confirmed(10.0)).unwrap()
            return index, cluster.logs["a1"].state.applied_index

        index, applied_index = _run(tmp_path, scenario)
        assert applied_index >= index > 0
