"""Instance that runs operations under a virtual clock."""

import random
from collections.abc import Callable

from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.journal import (
    AbandonOwner,
    DispatchStep,
    OperationRequest,
    ProposeStep,
    QueryStep,
    RecordedAnswer,
    WaitStep,
    run_operation,
)
from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._virtual import VirtualClock

RETRY_S = 0.15
ABANDON_S = 20.0


class OperationOwner:
    """Simulated instance without a disk; it can be restarted and frozen.

    Parameters
    ----------
    name : str
        Instance name.
    hosts : list of LogHost
        Voters to which commands are proposed.
    clock, checks, rng
        Simulated time, invariants and random number generator of the simulation.
    loss : float
        Probability that a request to a voter is lost, and that its response is lost.
    """

    def __init__(
        self,
        name: str,
        hosts: list[LogHost],
        clock: VirtualClock,
        checks: LogChecks,
        rng: random.Random,
        loss: float,
    ) -> None:
        self.name = name
        self.hosts = hosts
        self.clock = clock
        self.checks = checks
        self.rng = rng
        self.loss = loss
        self.process_number = 1
        self.frozen = False
        self.deferred_actions: list[Callable[[], None]] = []
        self.results: list[Result[RecordedAnswer, Failure]] = []
        self.commits = 0

    @property
    def process_id(self) -> str:
        """Identifier of the current process, which changes with each restart."""
        return str(self.process_number)

    def restart(self) -> None:
        """Kill the process with all its operations and start a new process."""
        self.process_number += 1
        self.frozen = False
        self.deferred_actions.clear()
        self._propose(AbandonOwner(self.name, self.process_id), ABANDON_S, lambda result: None)

    def thaw(self) -> None:
        """Resume after a freeze; runs the deferred actions."""
        self.frozen = False
        deferred_actions, self.deferred_actions = self.deferred_actions, []
        for action in deferred_actions:
            action()

    def run(self, key: str, deadline_s: float) -> None:
        """Start an operation."""
        request = OperationRequest("acme", key, "f", deadline_s, self.name, self.process_id)
        steps = run_operation(
            request, lambda: f"{self.rng.getrandbits(64):016x}", lambda: self.clock.now_s
        )
        self._advance(steps, request, None)

    def _advance(self, steps, request: OperationRequest, value: object) -> None:
        try:
            step = steps.send(value)
        except StopIteration as stop:
            self.results.append(stop.value.result)
            if stop.value.follow_up is not None:
                self._propose(stop.value.follow_up, ABANDON_S, lambda result: None)
            return

        def continue_operation(result: object) -> None:
            self._advance(steps, request, result)

        if isinstance(step, ProposeStep):
            self._propose(step.command, step.timeout_s, continue_operation)
        elif isinstance(step, QueryStep):
            self._query(step.question, continue_operation)
        elif isinstance(step, WaitStep):
            self._after(step.duration_s, lambda: continue_operation(None))
        elif isinstance(step, DispatchStep):
            self._dispatch(step, request, continue_operation)

    def _dispatch(
        self, step: DispatchStep, request: OperationRequest, continue_operation: Callable
    ) -> None:
        self.checks.dispatched(request.account, request.key)
        draw = self.rng.random()
        duration_s = self.rng.uniform(0.01, 0.5)
        if draw < 0.1:
            self.checks.proved_not_run(request.account, request.key)
            result = Err(Failure(ErrorKind.CONNECTION_FAILED))
        elif draw < 0.2:
            result = Err(Failure(ErrorKind.UPSTREAM_FAILED))
        else:
            result = Ok(RecordedAnswer(200, body=request.key.encode()))
        self._after(min(duration_s, step.timeout_s), lambda: continue_operation(result))

    def _propose(self, command: object, timeout_s: float, on_result: Callable) -> None:
        attempt = _ProposalAttempt(self, command, self.clock.now_s + timeout_s, on_result)
        attempt.send()

    def _query(self, question: object, continue_operation: Callable) -> None:
        host = self.rng.choice(self.hosts)

        def finished(confirmed: bool) -> None:
            result = Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
            if confirmed:
                result = Ok(host.state.query("journal", question))
            self._after(0.001, lambda: continue_operation(result))

        if not host.read(finished):
            self._after(
                RETRY_S, lambda: continue_operation(Err(Failure(ErrorKind.QUORUM_UNAVAILABLE)))
            )

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action of the current process; a restart drops it, a freeze defers it."""
        process = self.process_number

        def run() -> None:
            if process != self.process_number:
                return
            if self.frozen:
                self.deferred_actions.append(run)
                return
            action()

        self.clock.after(delay_s, run)


class _ProposalAttempt:
    """Sends a command to random voters until one responds or the deadline passes."""

    def __init__(
        self, owner: OperationOwner, command: object, deadline_s: float, on_result: Callable
    ) -> None:
        self.owner = owner
        self.command = command
        self.deadline_s = deadline_s
        self.on_result = on_result
        self.finished = False

    def send(self) -> None:
        if self.finished:
            return
        owner = self.owner
        if owner.clock.now_s >= self.deadline_s:
            self.finished = True
            owner._after(0, lambda: self.on_result(Err(Failure(ErrorKind.OUTCOME_UNKNOWN))))
            return
        host = owner.rng.choice(owner.hosts)
        if owner.rng.random() >= owner.loss:
            delay_s = owner.rng.uniform(0.0005, 0.3)
            owner.clock.after(delay_s, lambda: host.propose(self.command, self.answer))
        owner._after(owner.rng.uniform(RETRY_S, 2 * RETRY_S), self.send)

    def answer(self, response: object) -> None:
        """Receive the response of a voter, unless the simulated network loses it."""
        owner = self.owner
        if owner.rng.random() < owner.loss:
            return
        owner._after(0.002, lambda: self.end(response))

    def end(self, response: object) -> None:
        """Pass on the first response; later ones are ignored."""
        if not self.finished:
            self.finished = True
            self.owner.commits += 1
            self.on_result(Ok(response))
