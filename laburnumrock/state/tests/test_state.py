"""Tests of the replicated state."""

from dataclasses import dataclass

import cbor2
import pytest

from laburnumrock.journal import (
    OPERATION_RETENTION_S,
    AbandonOwner,
    ClaimOperation,
    JournalPart,
    SettleOperation,
    StartDispatch,
)
from laburnumrock.messages import register_message
from laburnumrock.state import (
    PARTS,
    ReplicatedState,
    decode_message,
    encode_array_header,
    encode_message,
    with_timestamp,
)


@register_message
@dataclass(frozen=True, slots=True)
class CountForTest:
    stamped_at_s: float = 0.0


class _Counter:
    command_types = (CountForTest,)

    def __init__(self):
        self.timestamps = []

    def apply(self, command, index):
        self.timestamps.append(command.stamped_at_s)
        return command

    def query(self, question):
        return question

    def to_plain(self):
        return self.timestamps

    def restore(self, plain):
        self.timestamps = list(plain or [])


class TestReplicatedState:
    def test_time_never_goes_back_when_the_leader_changes(self):
        """Guards against wrong retention times when the clock of a new leader is behind."""
        state = ReplicatedState({"counter": _Counter})
        for index, now_s in enumerate((100.0, 40.0, 120.0), start=1):
            state.apply(index, with_timestamp(CountForTest(), now_s))
        assert state.parts["counter"].timestamps == [100.0, 100.0, 120.0]

    def test_restored_state_equals_the_original(self):
        """Guards against snapshots that lack a part, the clock or the applied index."""
        state = ReplicatedState({"counter": _Counter, "journal": JournalPart})
        state.apply(1, CountForTest(50.0))
        state.apply(2, ClaimOperation("a", "k", "f", "c1", "a1", "p", 1.0, 60.0))
        other = ReplicatedState({"counter": _Counter, "journal": JournalPart})
        other.restore(state.snapshot())
        assert other.snapshot() == state.snapshot()
        assert (other.applied_index, other.clock_s) == (2, 60.0)
        other.restore(b"")
        assert (
            other.snapshot()
            == ReplicatedState({"counter": _Counter, "journal": JournalPart}).snapshot()
        )

    def test_chunks_are_the_encoding_of_the_plain_state(self):
        """Guards against the outdated encoding of a changed operation and a malformed snapshot."""
        state = ReplicatedState({"counter": _Counter, "journal": JournalPart})
        journal = state.parts["journal"]
        for number in range(300):
            identity = ("a", f"k{number % 70}", f"c{number}")
            state.apply(
                number, ClaimOperation(*identity[:2], "f", identity[2], "a1", "p", 1.0, 1.0)
            )
            state.apply(number, StartDispatch(*identity, 2.0))
            state.apply(number, SettleOperation(*identity, "not_run", None, float(number % 5)))
            if number % 50 == 0:
                state.apply(number, AbandonOwner("a1", "", 3.0))
        chunks = state.encode()
        parts = {name: part.to_plain() for name, part in state.parts.items()}
        plain = {"index": state.applied_index, "clock_s": state.clock_s, "parts": parts}
        expected = cbor2.dumps(plain)
        assert b"".join(chunks) == expected
        state.apply(301, CountForTest(journal.clock_s + 2 * OPERATION_RETENTION_S))
        state.apply(302, AbandonOwner("a1", "", 0.0))
        assert not journal.operations
        assert b"".join(chunks) == expected
        assert cbor2.loads(state.snapshot())["parts"]["journal"]["operations"] == []

    @pytest.mark.parametrize("length", [0, 23, 24, 255, 256, 70_000])
    def test_array_header_of_any_length(self, length):
        """Guards against wrong headers when the length takes more than one byte."""
        assert cbor2.loads(encode_array_header(length) + b"\x00" * length) == [0] * length

    def test_two_parts_cannot_handle_one_command(self):
        """Guards against two parts for one command type, of which only one would receive it."""
        with pytest.raises(ValueError):
            ReplicatedState({"one": _Counter, "two": _Counter})

    def test_command_survives_its_encoding(self):
        """Guards against a command that changes between proposal and apply."""
        for command in (CountForTest(1.5), SettleOperation("a", "k", "c", "done")):
            assert encode_message(decode_message(encode_message(command))) == (
                encode_message(command)
            )

    @pytest.mark.parametrize("name", sorted(PARTS))
    def test_every_registered_part_restores_its_empty_state(self, name):
        """Guards against a part that cannot start with an empty log."""
        part = PARTS[name]()
        part.restore(None)
        assert part.to_plain() == PARTS[name]().to_plain()
        assert part.command_types
