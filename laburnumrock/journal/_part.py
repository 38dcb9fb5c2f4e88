"""Operation journal as a part of the replicated state."""

import json
from collections import deque
from dataclasses import dataclass, field
from importlib.resources import files

import cbor2

from laburnumrock.journal._messages import (
    MAX_RECORDED_BODY_BYTES,
    AbandonOperation,
    AbandonOwner,
    ClaimOperation,
    FindOperation,
    OperationAnswer,
    OperationOutcome,
    OperationState,
    ReconcileOperation,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    VoidClaim,
)
from laburnumrock.messages import from_plain, to_plain
from laburnumrock.state import encode_array_header, encode_map_header, register_part

OPERATION_RETENTION_S = 7 * 24 * 3600.0
# Covers the clock skew between the leaders that set the timestamps of claim and reconciliation.
RECONCILE_GRACE_S = 2.0
# Ended claim ids to keep per operation, so that a late duplicate of a claim command is rejected.
MAX_PAST_CLAIMS = 16

_TRANSITIONS = json.loads(files(__package__).joinpath("_operation.json").read_text("utf-8"))[
    "states"
]
_OPEN_STATES = (OperationState.CLAIMED, OperationState.DISPATCHED)
_RETAINED_STATES = (*_OPEN_STATES, OperationState.UNKNOWN)


@dataclass(slots=True)
class Operation:
    """Stored record of one operation."""

    account: str
    key: str
    fingerprint: str
    claim_id: str
    owner: str
    process_id: str
    limit_s: float
    state: OperationState
    claimed_s: float
    changed_s: float
    answer: RecordedAnswer | None = None
    source: str = ""
    past_claims: list[str] = field(default_factory=list)
    claim_index: int = 0


@register_part("journal")
class JournalPart:
    """Non-idempotent operations and their outcomes.

    Parameters
    ----------
    retention_s : float, > 0
        Time for which finished operations are retained, in seconds.
    """

    command_types = (
        ClaimOperation,
        StartDispatch,
        SettleOperation,
        VoidClaim,
        AbandonOperation,
        AbandonOwner,
        ReconcileOperation,
    )

    def __init__(self, retention_s: float = OPERATION_RETENTION_S) -> None:
        self.retention_s = retention_s
        self.clock_s = 0.0
        self.index = 0
        self.operations: dict[tuple[str, str], Operation] = {}
        # Operations are encoded when they change: encoding 50,000 of them at once for a snapshot
        # would delay heartbeats.
        self.encoded: dict[tuple[str, str], bytes] = {}
        self.open_keys: dict[tuple[str, str], None] = {}
        self.finished: deque[tuple[float, tuple[str, str]]] = deque()
        self.handlers = {
            ClaimOperation: self._claim,
            StartDispatch: self._start,
            SettleOperation: self._settle,
            VoidClaim: self._void,
            AbandonOperation: self._abandon,
            ReconcileOperation: self._reconcile,
        }

    def apply(self, command: object, index: int) -> OperationAnswer:
        """Apply a journal command."""
        self.clock_s = command.stamped_at_s
        self.index = index
        self._expire_finished(command.stamped_at_s)
        if isinstance(command, AbandonOwner):
            return self._abandon_owner(command)
        return self.handlers[type(command)](command)

    def query(self, question: FindOperation) -> OperationAnswer:
        """Return the state of one operation."""
        operation = self.operations.get((question.account, question.key))
        return _answer(True, operation, self.clock_s)

    def to_plain(self) -> object:
        """Return all operations as plain data."""
        operations = [to_plain(operation) for operation in self.operations.values()]
        return {"clock_s": self.clock_s, "operations": operations}

    def encode(self) -> list[bytes]:
        """Return the encoding of `to_plain` in chunks that were cached when operations changed."""
        return [
            encode_map_header(2),
            cbor2.dumps("clock_s"),
            cbor2.dumps(self.clock_s),
            cbor2.dumps("operations"),
            encode_array_header(len(self.encoded)),
            *self.encoded.values(),
        ]

    def restore(self, plain: object | None) -> None:
        """Replace all operations."""
        plain = plain or {"clock_s": 0.0, "operations": []}
        self.clock_s = plain["clock_s"]
        operations = [from_plain(Operation, item) for item in plain["operations"]]
        self.operations = {(item.account, item.key): item for item in operations}
        self.encoded = {key: _encode(item) for key, item in self.operations.items()}
        self.open_keys = {key: None for key, item in self.operations.items() if _is_open(item)}
        ended = [item for item in operations if item.state not in _RETAINED_STATES]
        ended.sort(key=lambda item: item.changed_s)
        self.finished = deque((item.changed_s, (item.account, item.key)) for item in ended)

    def _claim(self, command: ClaimOperation) -> OperationAnswer:
        key = (command.account, command.key)
        operation = self.operations.get(key)
        if operation is None:
            return self._open(key, _new_operation(command, [], self.index))
        if operation.fingerprint != command.fingerprint:
            return _answer(False, operation, command.stamped_at_s, mismatch=True)
        if operation.claim_id == command.claim_id:
            accepted = operation.state is OperationState.CLAIMED
            return _answer(accepted, operation, command.stamped_at_s)
        allowed = "claim" in _TRANSITIONS[operation.state]
        if not allowed or command.claim_id in operation.past_claims:
            return _answer(False, operation, command.stamped_at_s)
        past = [*operation.past_claims, operation.claim_id][-MAX_PAST_CLAIMS:]
        return self._open(key, _new_operation(command, past, self.index))

    def _open(self, key: tuple[str, str], operation: Operation) -> OperationAnswer:
        self.operations[key] = operation
        self.encoded[key] = _encode(operation)
        self.open_keys[key] = None
        return _answer(True, operation, operation.claimed_s)

    def _start(self, command: StartDispatch) -> OperationAnswer:
        return self._apply_event(command, "start", OperationState.DISPATCHED)

    def _settle(self, command: SettleOperation) -> OperationAnswer:
        target = OperationState(command.outcome)
        return self._apply_event(command, f"settle_{command.outcome}", target, command.answer)

    def _void(self, command: VoidClaim) -> OperationAnswer:
        return self._apply_event(command, "void", OperationState.VOIDED)

    def _abandon(self, command: AbandonOperation) -> OperationAnswer:
        operation = self.operations.get((command.account, command.key))
        if operation is not None and operation.state is OperationState.CLAIMED:
            return self._apply_event(command, "abandon", OperationState.VOIDED)
        return self._apply_event(command, "abandon", OperationState.UNKNOWN)

    def _abandon_owner(self, command: AbandonOwner) -> OperationAnswer:
        for key in list(self.open_keys):
            operation = self.operations[key]
            is_earlier = (
                command.before_index is None or operation.claim_index <= command.before_index
            )
            is_of_live_process = operation.process_id == command.process_id
            if operation.owner == command.owner and is_earlier and not is_of_live_process:
                self._transition(operation, "abandon", command.stamped_at_s)
        return OperationAnswer(True)

    def _reconcile(self, command: ReconcileOperation) -> OperationAnswer:
        operation = self.operations.get((command.account, command.key))
        event = f"reconcile_{command.outcome}"
        if operation is None or event not in _TRANSITIONS[operation.state]:
            repeated = (
                operation is not None
                and operation.state == OperationState(command.outcome)
                and operation.source == command.source != ""
            )
            return _answer(repeated, operation, command.stamped_at_s)
        claim_age_s = command.stamped_at_s - operation.claimed_s
        if (
            command.outcome is OperationOutcome.NOT_RUN
            and claim_age_s < operation.limit_s + RECONCILE_GRACE_S
        ):
            # An owner that resumes after a freeze may still send the call until its claim expires.
            return _answer(False, operation, command.stamped_at_s)
        operation.source = command.source
        operation.answer = command.answer
        self._transition(operation, event, command.stamped_at_s)
        return _answer(True, operation, command.stamped_at_s)

    def _apply_event(
        self,
        command: object,
        event: str,
        target: OperationState,
        answer: RecordedAnswer | None = None,
    ) -> OperationAnswer:
        """Apply an event if the claim is current and the state has a transition for the event."""
        operation = self.operations.get((command.account, command.key))
        if operation is None or operation.claim_id != command.claim_id:
            return _answer(False, operation, command.stamped_at_s)
        if event not in _TRANSITIONS[operation.state]:
            return _answer(operation.state is target, operation, command.stamped_at_s)
        if answer is not None:
            operation.answer = _limit_body(answer)
        self._transition(operation, event, command.stamped_at_s)
        return _answer(True, operation, command.stamped_at_s)

    def _transition(self, operation: Operation, event: str, now_s: float) -> None:
        operation.state = OperationState(_TRANSITIONS[operation.state][event])
        operation.changed_s = now_s
        key = (operation.account, operation.key)
        self.encoded[key] = _encode(operation)
        if not _is_open(operation):
            self.open_keys.pop(key, None)
        if operation.state not in _RETAINED_STATES:
            self.finished.append((now_s, key))

    def _expire_finished(self, now_s: float) -> None:
        while self.finished and self.finished[0][0] + self.retention_s < now_s:
            changed_s, key = self.finished.popleft()
            operation = self.operations.get(key)
            if (
                operation is not None
                and operation.state not in _RETAINED_STATES
                and operation.changed_s == changed_s
            ):
                del self.operations[key]
                del self.encoded[key]


def _new_operation(command: ClaimOperation, past_claims: list[str], index: int) -> Operation:
    return Operation(
        command.account,
        command.key,
        command.fingerprint,
        command.claim_id,
        command.owner,
        command.process_id,
        command.limit_s,
        OperationState.CLAIMED,
        command.stamped_at_s,
        command.stamped_at_s,
        past_claims=past_claims,
        claim_index=index,
    )


def _encode(operation: Operation) -> bytes:
    return cbor2.dumps(to_plain(operation))


def _is_open(operation: Operation) -> bool:
    return operation.state in _OPEN_STATES


def _limit_body(answer: RecordedAnswer) -> RecordedAnswer:
    if len(answer.body) <= MAX_RECORDED_BODY_BYTES:
        return answer
    return RecordedAnswer(answer.status, answer.headers, b"", body_omitted=True)


def _answer(
    accepted: bool, operation: Operation | None, now_s: float, mismatch: bool = False
) -> OperationAnswer:
    if operation is None:
        return OperationAnswer(accepted and not mismatch)
    return OperationAnswer(
        accepted,
        operation.state,
        operation.claim_id,
        mismatch,
        operation.answer,
        max(0.0, now_s - operation.claimed_s),
        operation.limit_s,
        operation.source,
    )
