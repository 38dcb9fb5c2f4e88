"""Tests of the replicated declaration store."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumrock.declarations import (
    ApplyChange,
    DeclarationStore,
    DeclarationUpdate,
    EnterHold,
    Hold,
)
from laburnumrock.declarations.tests._builders import drain, plain_template, put
from laburnumrock.errors import ErrorKind
from laburnumrock.messages import MAX_FRAME_BYTES, Frame, encode_frame


class ReferenceStore:
    """Reference model that keeps every answer and compares complete commands."""

    def __init__(self):
        self.values = {}
        self.revision = 0
        self.answers = {}

    def apply(self, request_id, base, changes):
        if request_id in self.answers:
            seen, answer = self.answers[request_id]
            return answer if seen == (base, changes) else "mismatch"
        answer = self._apply(base, changes)
        self.answers[request_id] = ((base, changes), answer)
        return answer

    def _apply(self, base, changes):
        if base != self.revision:
            return ("stale", self.revision)
        values = dict(self.values)
        for account, model in changes:
            if model is None:
                if account not in values:
                    return ("invalid", self.revision)
                del values[account]
            else:
                values[account] = model
        self.values = values
        self.revision += 1
        return ("applied", self.revision)


def _to_wire(changes):
    return [
        (
            {"action": "remove", "key": f"template/{account}"}
            if model is None
            else put(plain_template(account, model=model))
        )
        for account, model in changes
    ]


def _summarise(answer):
    if answer.kind is ErrorKind.IDEMPOTENCY_MISMATCH:
        return "mismatch"
    names = {
        None: "applied",
        ErrorKind.STALE_REVISION: "stale",
        ErrorKind.INVALID_DECLARATION: "invalid",
    }
    return (names[answer.kind], answer.revision)


_change = st.tuples(st.sampled_from("xyz"), st.sampled_from(["m", "n", None]))
_command = st.tuples(
    st.integers(0, 12),
    st.integers(-2, 0),
    st.lists(_change, min_size=1, max_size=2, unique_by=lambda item: item[0]),
    st.booleans(),
)


class TestDeclarationStore:
    @settings(max_examples=300, deadline=None)
    @given(st.lists(_command, max_size=40))
    def test_agrees_with_a_reference_model(self, commands):
        """Guards against races with two winners, resends applied twice, and lossy snapshots."""
        store, reference = DeclarationStore(), ReferenceStore()
        sent = {}
        for index, (number, offset, changes, snapshot) in enumerate(commands):
            # Numbers repeat. An odd one is then a resend, an even one a new command with a used id.
            fresh = (max(0, reference.revision + offset), changes)
            base, changes = sent.setdefault(number, fresh) if number % 2 else fresh
            command = ApplyChange(f"r{number}", base, _to_wire(changes), "op", float(index))
            assert _summarise(store.apply(command, index)) == reference.apply(number, base, changes)
            if snapshot:
                plain = json.loads(json.dumps(store.to_plain()))
                store = DeclarationStore()
                store.restore(plain)
                assert store.to_plain() == plain
            assert {name: item.model for name, item in store.current.templates.items()} == (
                reference.values
            )

    def test_answers_and_history_are_bounded(self):
        """Guards against memory and snapshots that grow without bound."""
        store = DeclarationStore(max_answers=3, max_history=2)
        for number in range(10):
            changes = [put(plain_template(model=f"m{number}"))]
            store.apply(ApplyChange(f"r{number}", number, changes, "op", 0.0), number)
        assert (len(store.answers), len(store.history)) == (3, 2)
        late = store.apply(ApplyChange("r0", 0, [put(plain_template())], "op", 0.0), 11)
        assert late.kind is ErrorKind.STALE_REVISION
        store.restore(None)
        assert store.to_plain() == DeclarationStore().to_plain()

    def test_steps_lead_to_the_current_revision(self):
        """Guards against pushes that omit a change."""
        store = DeclarationStore(max_history=3)
        for number in range(5):
            store.apply(ApplyChange(f"r{number}", number, [drain(f"d{number}")], "op", 0.0), number)
        assert [step.revision for step in store.find_steps(3)] == [4, 5]
        assert store.find_steps(5) == []
        assert store.find_steps(1) is None

    def test_set_fits_into_a_frame(self):
        """Guards against accepted declarations that are too large to send."""
        store = DeclarationStore()
        paths = [{"path": f"{number:0200d}", "repeatable": True} for number in range(200)]
        kind = None
        for number in range(100):
            service = {"type": "service", "name": f"s{number}", "paths": paths, "timeout_s": 1}
            change = ApplyChange(f"r{number}", number, [put(service)], "op", 0.0)
            kind = store.apply(change, number).kind
            if kind is not None:
                break
        assert kind is ErrorKind.INVALID_DECLARATION
        full_set = DeclarationUpdate(store.revision, declarations=store.current.to_plain())
        steps = DeclarationUpdate(store.revision, steps=store.find_steps(store.revision - 32))
        for update in (full_set, steps):
            assert len(encode_frame(Frame(update))) < MAX_FRAME_BYTES

    def test_hold_enters_once(self):
        """Guards against a late hold proposal that drains a domain again after its restoration."""
        store = DeclarationStore()
        command = EnterHold(Hold("a", 7, True, "op"), 0.0)
        assert store.apply(command, 1).revision == 1
        assert not store.current.is_in_service("failure_domain", "a")
        restore = ApplyChange("r", 1, [drain("a", state="in_service")], "op", 0.0)
        assert store.apply(restore, 2).revision == 2
        assert store.apply(command, 3).revision == 1
        assert store.current.is_in_service("failure_domain", "a")
