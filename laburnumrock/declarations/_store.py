"""Replicated store of the declarations; every voter applies the log commands to its copy."""

import hashlib
import json
from collections import OrderedDict, deque
from dataclasses import dataclass

from laburnumrock.declarations._messages import (
    ApplyChange,
    ChangeAnswer,
    DeclarationStep,
    EnterHold,
    HistoryAnswer,
    HistoryEntry,
    HistoryFetch,
    Hold,
)
from laburnumrock.declarations._set import DeclarationSet, parse_changes
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import from_plain, to_plain
from laburnumrock.state import register_part

# Covers more than one day at 2,400 changes per day. A resend that arrives after its answer was
# dropped is refused as stale, because its base revision is no longer current.
MAX_ANSWERS = 4_096
MAX_HISTORY = 512
# Limits the snapshot size if commands contain many changes: 4,096 templates take about 1.6 MB.
MAX_HISTORY_CHANGES = 4_096
MAX_ANSWER_ENTRIES = 200
# Leaves room for one more large entry below the maximum frame size between instances.
MAX_ANSWER_BYTES = 1024 * 1024
# Half of the maximum frame size between instances, so that the full set fits into one message.
MAX_SET_BYTES = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _StoredAnswer:
    fingerprint: str
    answer: ChangeAnswer


@register_part("declarations")
class DeclarationStore:
    """Replicated declarations with revision, answers by request id, and history of changes.

    Parameters
    ----------
    max_answers : int, > 0
        Number of answers kept for resends.
    max_history : int, > 0
        Number of log commands kept in the history.

    Notes
    -----
    Every voter applies the same commands in the same order and must reach the same state. The store
    must therefore be deterministic and use neither clocks nor random numbers.
    """

    command_types = (ApplyChange, EnterHold)

    def __init__(self, max_answers: int = MAX_ANSWERS, max_history: int = MAX_HISTORY) -> None:
        self.max_answers = max_answers
        self.max_history = max_history
        self.revision = 0
        self.current = DeclarationSet()
        self.answers: OrderedDict[str, _StoredAnswer] = OrderedDict()
        self.history: deque[HistoryEntry] = deque()
        # Version of the newest hold, or removal of a hold, of each failure domain.
        self.hold_versions: dict[str, int] = {}

    def apply(self, command: ApplyChange | EnterHold, index: int) -> ChangeAnswer:
        """Apply one log command.

        Parameters
        ----------
        command : ApplyChange or EnterHold
            The command.
        index : int
            Log index of the command.

        Returns
        -------
        ChangeAnswer
            Result of the command; a resend with a known request id gets the original answer.
        """
        if isinstance(command, EnterHold):
            return self._enter_hold(command, index)
        fingerprint = _fingerprint(command)
        stored = self.answers.get(command.request_id)
        if stored is not None:
            if stored.fingerprint == fingerprint:
                return stored.answer
            detail = "the request id was used with another change"
            return self._refuse(command, Failure(ErrorKind.IDEMPOTENCY_MISMATCH, detail))
        return self._store_answer(fingerprint, self._apply_new(command, index))

    def query(self, question: HistoryFetch) -> HistoryAnswer:
        """Return the latest changes, newest last; fewer than requested if they are large."""
        entries: list[HistoryEntry] = []
        size = 0
        for entry in reversed(self.history):
            size += len(json.dumps(entry.command.changes))
            full = len(entries) >= min(question.limit, MAX_ANSWER_ENTRIES)
            if full or (entries and size > MAX_ANSWER_BYTES):
                break
            entries.append(entry)
        return HistoryAnswer(entries[::-1])

    def find_steps(self, revision: int) -> list[DeclarationStep] | None:
        """Return the steps that lead from a revision to the current one.

        Returns
        -------
        list of DeclarationStep or None
            None when the history no longer reaches back to `revision`.
        """
        missing = self.revision - revision
        if missing < 0 or missing > len(self.history):
            return None
        entries = list(self.history)[len(self.history) - missing :]
        return [DeclarationStep(entry.revision, entry.command.changes) for entry in entries]

    def to_plain(self) -> dict:
        """Convert the store to JSON-compatible data for a snapshot."""
        return {
            "revision": self.revision,
            "declarations": self.current.to_plain(),
            "answers": [
                [stored.fingerprint, to_plain(stored.answer)] for stored in self.answers.values()
            ],
            "hold_versions": self.hold_versions,
            "history": [
                [entry.index, entry.revision, to_plain(entry.command)] for entry in self.history
            ],
        }

    def restore(self, plain: dict | None) -> None:
        """Replace the content of the store by a snapshot; None means the empty state.

        Raises
        ------
        ValueError, KeyError
            If the data is malformed; the store is unchanged then.
        """
        if plain is None:
            plain = {"revision": 0, "declarations": [], "answers": [], "history": []}
        hold_versions = dict(plain.get("hold_versions", {}))
        current = DeclarationSet.from_plain(plain["declarations"])
        answers: OrderedDict[str, _StoredAnswer] = OrderedDict()
        for fingerprint, entry in plain["answers"]:
            answer = from_plain(ChangeAnswer, entry)
            answers[answer.request_id] = _StoredAnswer(fingerprint, answer)
        history: deque[HistoryEntry] = deque()
        for index, revision, entry in plain["history"]:
            history.append(HistoryEntry(index, revision, from_plain(ApplyChange, entry)))
        self.revision = plain["revision"]
        self.current = current
        self.answers = answers
        self.history = history
        self.hold_versions = hold_versions

    def _enter_hold(self, command: EnterHold, index: int) -> ChangeAnswer:
        # Every instance of the domain may propose the same hold, and late.
        hold = command.hold
        request_id = _name_hold(hold.failure_domain, hold.version)
        stored = self.answers.get(request_id)
        if stored is not None:
            return stored.answer
        unchanged = ChangeAnswer(request_id, self.revision)
        if hold.version <= self.hold_versions.get(hold.failure_domain, 0):
            return unchanged
        self.hold_versions[hold.failure_domain] = hold.version
        if hold.held:
            is_due = self.current.is_in_service("failure_domain", hold.failure_domain)
        else:
            is_due = self._is_drained_by(hold.failure_domain, hold.removed_version)
        if not is_due:
            return self._store_answer("hold", unchanged)
        state = "drained" if hold.held else "in_service"
        changes = [{"action": "put", "declaration": _make_domain_state(hold, state)}]
        change = ApplyChange(
            request_id, self.revision, changes, hold.operator, command.stamped_at_s
        )
        return self._store_answer("hold", self._apply_new(change, index))

    def _is_drained_by(self, failure_domain: str, version: int | None) -> bool:
        """Return whether a hold drained the domain and nothing has changed its state since.

        Of a hold that is older than the history, this is not known; the domain stays drained then,
        until an operator restores it.
        """
        if version is None:
            return False
        for entry in reversed(self.history):
            changes = parse_changes(entry.command.changes).unwrap()
            if f"service_state/failure_domain/{failure_domain}" in [one.key for one in changes]:
                return entry.command.request_id == _name_hold(failure_domain, version)
        return False

    def _store_answer(self, fingerprint: str, answer: ChangeAnswer) -> ChangeAnswer:
        self.answers[answer.request_id] = _StoredAnswer(fingerprint, answer)
        while len(self.answers) > self.max_answers:
            self.answers.popitem(last=False)
        return answer

    def _apply_new(self, command: ApplyChange, index: int) -> ChangeAnswer:
        if command.base_revision != self.revision:
            detail = f"planned against revision {command.base_revision}, now {self.revision}"
            return self._refuse(command, Failure(ErrorKind.STALE_REVISION, detail))
        changed = parse_changes(command.changes).and_then(self.current.with_changes)
        if changed.is_err():
            return self._refuse(command, changed.unwrap_err())
        size = changed.unwrap().count_bytes()
        if size > MAX_SET_BYTES:
            detail = (
                f"the declarations would take {size} bytes, at most {MAX_SET_BYTES} are allowed"
            )
            return self._refuse(command, Failure(ErrorKind.INVALID_DECLARATION, detail))
        self.current = changed.unwrap()
        self.revision += 1
        self.history.append(HistoryEntry(index, self.revision, command))
        self._trim_history()
        return ChangeAnswer(command.request_id, self.revision)

    def _trim_history(self) -> None:
        changes = sum(len(entry.command.changes) for entry in self.history)
        while len(self.history) > self.max_history or changes > MAX_HISTORY_CHANGES:
            changes -= len(self.history.popleft().command.changes)

    def _refuse(self, command: ApplyChange, failure: Failure) -> ChangeAnswer:
        return ChangeAnswer(
            command.request_id, self.revision, failure.kind, failure.detail, failure.field_path
        )


def _fingerprint(command: ApplyChange) -> str:
    # Operator and timestamp are left out: they may differ if a resend uses another instance.
    content = json.dumps([command.base_revision, command.changes], sort_keys=True)
    return hashlib.sha256(content.encode()).hexdigest()


def _name_hold(failure_domain: str, version: int) -> str:
    return f"hold/{failure_domain}/{version}"


def _make_domain_state(hold: Hold, state: str) -> dict[str, str]:
    return {
        "type": "service_state",
        "kind": "failure_domain",
        "name": hold.failure_domain,
        "state": state,
    }
