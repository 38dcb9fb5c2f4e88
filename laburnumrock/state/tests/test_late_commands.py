"""Commands of the replicated log that are applied late, twice, or after their opposite."""

from dataclasses import dataclass, field

import pytest

from laburnumrock.declarations import ApplyChange, EnterHold, Hold
from laburnumrock.journal import (
    AbandonOperation,
    AbandonOwner,
    ClaimOperation,
    OperationOutcome,
    ReconcileOperation,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    VoidClaim,
)
from laburnumrock.orders import AddOrder, MarkOrder, OrderEvent, OrderKind, ReloadOrder
from laburnumrock.routing import SetDrain, SetQuarantine, StoreRoutes
from laburnumrock.state import PARTS, ReplicatedState, discover_parts

PACKAGES = ("declarations", "journal", "orders", "routing")
PART_NAMES = ("declarations", "journal", "orders", "routes")
DONE = OperationOutcome.DONE


@dataclass
class Late:
    """A command that is applied again after newer ones.

    Parameters
    ----------
    command : object
        The command; its proposer repeats it, or was frozen before it arrived.
    newer : list of object
        Commands that are applied before it arrives late.
    earlier : list of object
        Commands applied before all of these.
    """

    command: object
    newer: list[object]
    earlier: list[object] = field(default_factory=list)


def claim(claim_id: str, process_id: str = "p1", key: str = "k") -> ClaimOperation:
    return ClaimOperation("acme", key, "f", claim_id, "a1", process_id, 5.0)


def drain_state(state: str) -> list[dict]:
    declaration = {"type": "service_state", "kind": "failure_domain", "name": "a", "state": state}
    return [{"action": "put", "declaration": declaration}]


def add_order(order_id: str, version: str, base_index: int = 0) -> AddOrder:
    arguments = {"version": version}
    return AddOrder(order_id, "e1", OrderKind.LOAD_VERSION, arguments, base_index=base_index)


def mark(order_id: str, event: OrderEvent, fencing_number: int = 1) -> MarkOrder:
    return MarkOrder(order_id, event, fencing_number)


def carry_out(order_id: str) -> list[MarkOrder]:
    return [mark(order_id, event) for event in ("send", "accept", "complete")]


CASES = {
    "routes": Late(StoreRoutes(7, b"7"), [StoreRoutes(8, b"8")]),
    "drain": Late(SetDrain("a", True, "o1", 0), [SetDrain("a", False, "o2", 1)]),
    "restore": Late(
        SetDrain("a", False, "o2", 1),
        [SetDrain("a", True, "o3", 2)],
        [SetDrain("a", True, "o1", 0)],
    ),
    "restore_after_an_order_without_a_change": Late(
        SetDrain("a", False, "o2", 1),
        [SetDrain("a", True, "o3", 1)],
        [SetDrain("a", True, "o1", 0)],
    ),
    "quarantine_of_a_deposed_leader": Late(
        SetQuarantine([["x"]], 3, 9), [SetQuarantine([["y"]], 4, 1)]
    ),
    "quarantine_of_the_same_leader": Late(
        SetQuarantine([["x"]], 3, 1), [SetQuarantine([["x"], ["y"]], 3, 2)]
    ),
    "claim": Late(claim("c1"), [VoidClaim("acme", "k", "c1"), claim("c2")]),
    "start": Late(StartDispatch("acme", "k", "c1"), [VoidClaim("acme", "k", "c1")], [claim("c1")]),
    "settle": Late(
        SettleOperation("acme", "k", "c1", DONE, RecordedAnswer(200)),
        [AbandonOperation("acme", "k", "c1"), claim("c2")],
        [claim("c1")],
    ),
    "void": Late(VoidClaim("acme", "k", "c1"), [claim("c2")], [claim("c1")]),
    "abandon": Late(AbandonOperation("acme", "k", "c1"), [claim("c2")], [claim("c1")]),
    "abandon_owner": Late(
        AbandonOwner("a1", "p1", before_index=1),
        [claim("c2", "p2", "k2"), AbandonOwner("a1", "p2", before_index=2)],
        [claim("c1", "p0")],
    ),
    "abandon_owner_by_operator": Late(
        AbandonOwner("a1", "", before_index=1), [claim("c2", "p2", "k2")], [claim("c1", "p0")]
    ),
    "reconcile": Late(
        ReconcileOperation("acme", "k", DONE, "ledger"),
        [],
        [claim("c1"), StartDispatch("acme", "k", "c1"), AbandonOperation("acme", "k", "c1")],
    ),
    "change": Late(
        ApplyChange("r1", 0, drain_state("drained"), "op", 1.0),
        [ApplyChange("r2", 1, drain_state("in_service"), "op", 2.0)],
    ),
    "hold": Late(
        EnterHold(Hold("a", 1, True), 1.0),
        [ApplyChange("r2", 1, drain_state("in_service"), "op", 2.0)],
    ),
    "hold_that_was_removed": Late(
        EnterHold(Hold("a", 1, True), 1.0),
        [EnterHold(Hold("a", 2, False, removed_version=1), 2.0)],
    ),
    "removal_of_a_hold": Late(
        EnterHold(Hold("a", 2, False, removed_version=1), 2.0),
        [EnterHold(Hold("a", 3, True), 3.0)],
        [EnterHold(Hold("a", 1, True), 1.0)],
    ),
    "removal_of_a_hold_before_a_drain": Late(
        EnterHold(Hold("a", 2, False, removed_version=1), 2.0),
        [ApplyChange("r2", 1, drain_state("drained"), "op", 2.0)],
        [EnterHold(Hold("a", 1, True), 1.0)],
    ),
    "add_order": Late(add_order("x1", "v1"), [add_order("x2", "v2", 1)]),
    "mark_order": Late(
        mark("x1", OrderEvent.SEND), [mark("x1", OrderEvent.ACCEPT, 2)], [add_order("x1", "v1")]
    ),
    "reload": Late(
        ReloadOrder("x1", 1),
        [add_order("x2", "v2", 5), mark("x1/5", OrderEvent.SEND, 2)],
        [add_order("x1", "v1"), *carry_out("x1")],
    ),
}
CANNOT_BE_FIRST = (
    "hold",
    "removal_of_a_hold_before_a_drain",
    "change",
    "mark_order",
    "reconcile",
    "claim",
    "void",
    "abandon",
    "abandon_owner_by_operator",
)
"""Cases in which the newer commands take effect only after the late one."""


def read_state(state: ReplicatedState) -> dict:
    """Return the state without the time of its last command."""
    plain = {name: part.to_plain() for name, part in state.parts.items()}
    plain["journal"]["clock_s"] = 0.0
    return plain


def apply_all(commands: list[object]) -> ReplicatedState:
    discover_parts(f"laburnumrock.{package}" for package in PACKAGES)
    state = ReplicatedState({name: PARTS[name] for name in PART_NAMES})
    for index, command in enumerate(commands, start=1):
        state.apply(index, command)
    return state


class TestLateCommands:
    @pytest.mark.parametrize("name", CASES)
    def test_repeated_after_newer_commands(self, name):
        """Guards against a repeated command that undoes what came after it."""
        case = CASES[name]
        commands = [*case.earlier, case.command, *case.newer]
        expected = read_state(apply_all(commands))
        assert read_state(apply_all([*commands, case.command])) == expected

    @pytest.mark.parametrize("name", [name for name in CASES if name not in CANNOT_BE_FIRST])
    def test_first_applied_after_newer_commands(self, name):
        """Guards against a command that arrives late and undoes what is newer than it."""
        case = CASES[name]
        commands = [*case.earlier, *case.newer]
        expected = read_state(apply_all(commands))
        assert read_state(apply_all([*commands, case.command])) == expected

    def test_every_command_has_a_case(self):
        """Guards against a new command that is ordered by its arrival alone."""
        tested = {type(case.command) for case in CASES.values()}
        registered = {cls for name in PART_NAMES for cls in PARTS[name].command_types}
        assert registered <= tested


class TestHolds:
    def is_in_service(self, *commands: object) -> bool:
        state = apply_all(list(commands))
        return state.parts["declarations"].current.is_in_service("failure_domain", "a")

    def test_removal_of_a_hold_on_its_way(self):
        """Guards against a removed hold that stays in the log as a drain."""
        hold = EnterHold(Hold("a", 1, True), 1.0)
        removal = EnterHold(Hold("a", 2, False, removed_version=1), 2.0)
        assert not self.is_in_service(hold)
        assert self.is_in_service(hold, removal)
        assert self.is_in_service(removal, hold)

    def test_removal_of_a_hold_leaves_other_drains(self):
        """Guards against the removal of a hold that restores a domain drained for other reasons."""
        drain = ApplyChange("r", 0, drain_state("drained"), "op", 1.0)
        hold = EnterHold(Hold("a", 3, True), 3.0)
        removal = EnterHold(Hold("a", 4, False, removed_version=3), 4.0)
        assert not self.is_in_service(drain, hold, removal)
        assert not self.is_in_service(EnterHold(Hold("a", 1, True), 1.0), hold, removal)
