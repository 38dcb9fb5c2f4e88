"""Instances that run operations under a virtual clock."""

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
    """Instance without a disk; it can be killed, restarted and frozen.

    Parameters
    ----------
    name : str
        Instance name.
    hosts : list of LogHost
        Voters to propose to.
    clock, checks, source
        Virtual surroundings.
    loss : float
        Probability that a request to a voter, or its answer, is lost.
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
        self.held: list[Callable[[], None]] = []
        self.results: list[Result[RecordedAnswer, Failure]] = []
        self.commits = 0

    @property
    def process_id(self) -> str:
        """Name of the current run of the process."""
        return str(self.process_number)

    def restart(self) -> None:
        """Kill the process with all its operations and start a new one."""
        self.process_number += 1
        self.frozen = False
        self.held.clear()
        self._propose(AbandonOwner(self.name, self.process_id), ABANDON_S, lambda result: None)

    def thaw(self) -> None:
        """Go on after a freeze."""
        self.frozen = False
        held, self.held = self.held, []
        for action in held:
            action()

    def run(self, key: str, deadline_s: float) -> None:
        """Start to run an operation."""
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

        def go_on(result: object) -> None:
            self._advance(steps, request, result)

        if isinstance(step, ProposeStep):
            self._propose(step.command, step.timeout_s, go_on)
        elif isinstance(step, QueryStep):
            self._query(step.question, go_on)
        elif isinstance(step, WaitStep):
            self._after(step.duration_s, lambda: go_on(None))
        elif isinstance(step, DispatchStep):
            self._dispatch(step, request, go_on)

    def _dispatch(self, step: DispatchStep, request: OperationRequest, go_on: Callable) -> None:
        self.checks.dispatched(request.account, request.key)
        luck = self.rng.random()
        duration_s = self.rng.uniform(0.01, 0.5)
        if luck < 0.1:
            self.checks.proved_not_run(request.account, request.key)
            result = Err(Failure(ErrorKind.CONNECTION_FAILED))
        elif luck < 0.2:
            result = Err(Failure(ErrorKind.UPSTREAM_FAILED))
        else:
            result = Ok(RecordedAnswer(200, body=request.key.encode()))
        self._after(min(duration_s, step.timeout_s), lambda: go_on(result))

    def _propose(self, command: object, timeout_s: float, finish: Callable) -> None:
        attempt = _Attempt(self, command, self.clock.now_s + timeout_s, finish)
        attempt.send()

    def _query(self, question: object, go_on: Callable) -> None:
        host = self.rng.choice(self.hosts)

        def finished(confirmed: bool) -> None:
            result = Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
            if confirmed:
                result = Ok(host.state.query("journal", question))
            self._after(0.001, lambda: go_on(result))

        if not host.read(finished):
            self._after(RETRY_S, lambda: go_on(Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action of the current process later; a kill drops it, a freeze holds it."""
        process = self.process_number

        def run() -> None:
            if process != self.process_number:
                return
            if self.frozen:
                self.held.append(run)
                return
            action()

        self.clock.after(delay_s, run)


class _Attempt:
    """A command that is sent to voters until one answers."""

    def __init__(
        self, owner: OperationOwner, command: object, end_s: float, finish: Callable
    ) -> None:
        self.owner = owner
        self.command = command
        self.end_s = end_s
        self.finish = finish
        self.finished = False

    def send(self) -> None:
        if self.finished:
            return
        owner = self.owner
        if owner.clock.now_s >= self.end_s:
            self.finished = True
            owner._after(0, lambda: self.finish(Err(Failure(ErrorKind.OUTCOME_UNKNOWN))))
            return
        host = owner.rng.choice(owner.hosts)
        if owner.rng.random() >= owner.loss:
            delay_s = owner.rng.uniform(0.0005, 0.3)
            owner.clock.after(delay_s, lambda: host.propose(self.command, self.answer))
        owner._after(owner.rng.uniform(RETRY_S, 2 * RETRY_S), self.send)

    def answer(self, answer: object) -> None:
        owner = self.owner
        if owner.rng.random() < owner.loss:
            return
        owner._after(0.002, lambda: self.end(answer))

    def end(self, answer: object) -> None:
        if not self.finished:
            self.finished = True
            self.owner.commits += 1
            self.finish(Ok(answer))
