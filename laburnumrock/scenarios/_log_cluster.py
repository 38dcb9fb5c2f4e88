"""Seeded failure schedules for the replicated log and the operation journal."""

import random
from dataclasses import dataclass

from laburnumrock.journal import (
    AbandonOperation,
    OperationOutcome,
    OperationState,
    ReconcileOperation,
    VoidClaim,
)
from laburnumrock.replication import Role
from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._log_owner import OperationOwner
from laburnumrock.scenarios._virtual import FaultRates, VirtualClock, VirtualNetwork
from laburnumrock.settings import TimingSettings

VOTERS = ["a1", "b1", "c1"]
OWNERS = ["a2", "b2", "c2"]
FAULT_PHASE_S = 12.0
# Long enough for an election, a catch-up and the retries of every open command.
CALM_PHASE_S = 9.0
KEYS = 12
# Falls between the claim and the start of many dispatches.
CLOSE_DELAY_S = 0.1
# Long against the delay of a proposal, so that no proposal outlives its run.
RESEND_DEADLINE_S = 20.0


@dataclass(slots=True)
class LogReport:
    """What one schedule did."""

    faults: int
    elections: int
    commits: int
    dispatches: int
    disks_lost: int


class LogCluster:
    """Three voters and three operation owners under faults.

    Parameters
    ----------
    seed : int
        Decides every fault and every delay.
    host_type : type
        Class of the voters; tests pass faulty ones to prove that the checks notice.
    """

    fault_phase_s = FAULT_PHASE_S

    def __init__(self, seed: int, host_type: type[LogHost] = LogHost) -> None:
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.checks = LogChecks()
        loss = self.rng.choice([0.0, 0.02, 0.1, 0.2])
        rates = FaultRates(drop=loss, duplicate=loss, slow=loss)
        self.network = VirtualNetwork(self.clock, self.rng, rates)
        self.hosts = {
            name: host_type(name, VOTERS, self.clock, self.network, self.checks, self.rng)
            for name in VOTERS
        }
        hosts = list(self.hosts.values())
        # Close election timeouts make several candidates stand in one term.
        election_max_s = self.rng.choice([0.52, 0.6, 1.0])
        for host in hosts:
            host.timing = TimingSettings(election_max_s=election_max_s)
        self.owners = [
            OperationOwner(name, hosts, self.clock, self.checks, self.rng, loss) for name in OWNERS
        ]
        self.faults = 0
        self.disks_lost = 0
        self.lost_voter: str | None = None

    def run(self) -> LogReport:
        """Run the schedule and check the end state.

        Raises
        ------
        AssertionError
            If a guarantee is broken.
        """
        for host in self.hosts.values():
            host.start()
        self.clock.run_until(self.clock.now_s + 2.0)
        end_s = self.clock.now_s + self.fault_phase_s
        self._schedule_work(end_s)
        while self.clock.now_s < end_s:
            self.clock.run_until(self.clock.now_s + self.rng.uniform(0.1, 0.8))
            self._inject()
            self._replace_lost_voter()
        self._calm()
        self._resend_open()
        self._check_end()
        return LogReport(
            self.faults,
            len(self.checks.leaders),
            sum(owner.commits for owner in self.owners),
            sum(self.checks.dispatches.values()),
            self.disks_lost,
        )

    def find_leader(self) -> LogHost | None:
        """Return the running leader of the highest term."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.node is not None and not host.frozen and host.node.role is Role.LEADER
        ]
        return max(leaders, key=lambda host: host.node.term, default=None)

    def _schedule_work(self, end_s: float) -> None:
        time_s = self.clock.now_s
        while time_s < end_s:
            time_s += self.rng.uniform(0.02, 0.4)
            owner = self.rng.choice(self.owners)
            key = f"k{self.rng.randrange(KEYS)}"
            deadline_s = self.rng.uniform(0.3, 4.0)
            self.clock.at(time_s, lambda o=owner, k=key, d=deadline_s: self._work(o, k, d))
            self.clock.at(time_s, self._read_anywhere)
            self.clock.at(time_s + CLOSE_DELAY_S, self._close_anything)

    def _work(self, owner: OperationOwner, key: str, deadline_s: float) -> None:
        if not owner.frozen:
            owner.run(key, deadline_s)

    def _read_anywhere(self) -> None:
        for host in self.hosts.values():
            host.read(lambda confirmed: None)

    def _close_anything(self) -> None:
        """Void, abandon or reconcile a random operation, which must be safe at any time."""
        leader = self.find_leader()
        operations = leader.state.parts["journal"].operations if leader is not None else None
        if not operations:
            return
        operation = self.rng.choice(list(operations.values()))
        identity = (operation.account, operation.key)
        command = self.rng.choice(
            [
                VoidClaim(*identity, operation.claim_id),
                AbandonOperation(*identity, operation.claim_id),
                ReconcileOperation(*identity, OperationOutcome.DONE, "ledger"),
            ]
        )
        leader.propose(command, lambda answer: None)

    def _inject(self) -> None:
        self.faults += 1
        host = self.rng.choice(list(self.hosts.values()))
        owner = self.rng.choice(self.owners)
        duration_s = self.rng.uniform(0.1, 2.5)
        fault = self.rng.choice(
            [self._kill, self._freeze, self._isolate, self._lose_disk, self._transfer]
        )
        fault(host, duration_s)
        if self.rng.random() < 0.2:
            owner.restart()
        elif self.rng.random() < 0.2 and not owner.frozen:
            owner.frozen = True
            self.clock.after(duration_s, owner.thaw)

    def _kill(self, host: LogHost, duration_s: float) -> None:
        if host.node is not None:
            host.kill()
            self.clock.after(duration_s, lambda: host.node is not None or host.start())

    def _freeze(self, host: LogHost, duration_s: float) -> None:
        if host.node is not None and not host.frozen:
            host.frozen = True
            self.clock.after(duration_s, host.thaw)

    def _isolate(self, host: LogHost, duration_s: float) -> None:
        self.network.cut({host.name}, set(VOTERS) - {host.name})
        self.clock.after(duration_s, self.network.heal)

    def _lose_disk(self, host: LogHost, duration_s: float) -> None:
        # The loss of a second disk before the first is replaced may lose committed entries.
        if self.lost_voter is None and host.node is not None and host.node.has_log:
            self.disks_lost += 1
            self.lost_voter = host.name
            host.kill(lose_disk=True)
            self.clock.after(duration_s, lambda: host.node is not None or host.start())

    def _transfer(self, host: LogHost, duration_s: float) -> None:
        leader = self.find_leader()
        if leader is not None:
            leader.change(leader.node.transfer(self.clock.now_s))

    def _replace_lost_voter(self) -> None:
        leader = self.find_leader()
        if self.lost_voter is None or leader is None:
            return
        host = self.hosts[self.lost_voter]
        if host.node is None:
            return
        node = leader.node
        committed = node.commit_index >= node.log.members_index
        if committed and host.node.voter_id in node.members.voters:
            self.lost_voter = None
            return
        leader.change(node.add_learner(host.name, self.clock.now_s))

    def _calm(self) -> None:
        self.network.heal()
        self.network.rates = FaultRates()
        for owner in self.owners:
            owner.loss = 0.0
            owner.thaw()
        for host in self.hosts.values():
            if host.node is None:
                host.start()
            host.thaw()
        end_s = self.clock.now_s + CALM_PHASE_S
        while self.clock.now_s < end_s:
            self.clock.run_until(self.clock.now_s + 1.0)
            self._replace_lost_voter()

    def _resend_open(self) -> None:
        """Resend operations whose claim arrived only after its owner had given it up.

        Such a claim can be voided by a resend. A started dispatch must never be left open.
        """
        leader = self.find_leader()
        if leader is None:
            raise AssertionError("no leader after the faults ended")
        journal = leader.state.parts["journal"]
        for account, key in list(journal.open_keys):
            if journal.operations[account, key].state is OperationState.DISPATCHED:
                raise AssertionError(f"the dispatch of {account}/{key} was left open")
            self.owners[0].run(key, RESEND_DEADLINE_S)
        self.clock.run_until(self.clock.now_s + 2 * RESEND_DEADLINE_S)

    def _check_end(self) -> None:
        leader = self.find_leader()
        if leader is None:
            raise AssertionError("no leader after the faults ended")
        if leader.applied_index < self.checks.highest_acknowledged:
            raise AssertionError(f"entries after {leader.applied_index} are lost")
        if self.lost_voter is not None:
            raise AssertionError(f"{self.lost_voter} was not added again")
        for host in self.hosts.values():
            if host.applied_index != leader.applied_index:
                raise AssertionError(f"{host.name} did not catch up")
            if host.state.snapshot() != leader.state.snapshot():
                raise AssertionError(f"{host.name} has another state than {leader.name}")
        if leader.state.parts["journal"].open_keys:
            raise AssertionError("an operation stayed open after a resend")
