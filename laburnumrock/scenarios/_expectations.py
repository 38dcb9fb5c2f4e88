"""Conditions of ``expect`` statements."""

from collections.abc import Callable

from lark import Tree

from laburnumrock.scenarios._world import World

Condition = Callable[[World, Tree], tuple[bool, str]]
CONDITIONS: dict[str, Condition] = {}


def register_condition(function: Condition) -> Condition:
    """Register a condition under the name of its rule in the grammar."""
    CONDITIONS[function.__name__] = function
    return function


@register_condition
def answers(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the answers of a batch; without a number, all of them."""
    name, count, verdict = tree.children
    batch = world.batches[name]
    required = len(batch.futures) if count is None else int(count)
    found = sum(_agrees(record, verdict) for record in batch.records)
    return found >= required, batch.describe()


def _agrees(record, verdict: Tree) -> bool:
    is_whole = record.result == "completed" and record.fault is None
    # A refusal after the call may have run has another outcome than "not_run".
    is_refused = record.result == "refused" and record.outcome == "not_run"
    if verdict.data == "whole":
        return is_whole
    if verdict.data == "replayed":
        return is_whole and record.is_replay
    if verdict.data == "recorded":
        # An outcome that an operator recorded has no body of the application engine.
        return record.status == 200 and record.is_replay
    if verdict.data == "whole_or_refused":
        return is_whole or is_refused
    kind, outcome = verdict.children
    agrees = record.result == "refused" and record.error_kind == kind
    return agrees and (outcome is None or record.outcome == outcome)


@register_condition
def executions(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare how often each operation of a batch ran."""
    name, comparison, count = tree.children
    counts = world.executions()
    found = [counts.get(key, 0) for key in world.batches[name].keys]
    agrees = all(_compares(one, comparison, count) for one in found)
    return agrees, f"executions {found}"


def _compares(found: int, comparison: str, count: str) -> bool:
    return found == int(count) if comparison == "=" else found <= int(count)


@register_condition
def revision(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare revisions with the highest one that an operator was told."""
    lagging = world.in_force_at(world.revision, world.resolve(tree.children))
    return not lagging, f"revision {world.revision}, lagging {lagging}"


@register_condition
def work(world: World, tree: Tree) -> tuple[bool, str]:
    """Look for tokens or calls since the first look of the statement."""
    names = [world.roles.get(str(name), str(name)) for name in tree.children]
    done = world.work_done(names)
    # The first look is stored in the tree, which belongs to one statement of one run.
    if not hasattr(tree, "first_look"):
        tree.first_look = done
    added = {name: done[name] - tree.first_look.get(name, 0) for name in done}
    return any(added.values()), f"new tokens and calls {added}"


@register_condition
def held(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the KV tokens that all engines hold."""
    tokens = {name: load["kv_used_tokens"] for name, load in world.engine_loads().items()}
    return sum(tokens.values()) == int(tree.children[0]), f"KV tokens {tokens}"


@register_condition
def cold_overloads(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare how often a cold engine got more than it can handle."""
    counts = {name: load["cold_overload_events"] for name, load in world.engine_loads().items()}
    comparison, count = tree.children
    return _compares(sum(counts.values()), comparison, count), f"cold overloads {counts}"


@register_condition
def exit_status(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the exit status of stopped instances."""
    status, *names = tree.children
    found = {name: world.exits.get(name) for name in world.resolve(names)}
    return all(one == int(status) for one in found.values()), f"exit status {found}"


@register_condition
def leader(world: World, tree: Tree) -> tuple[bool, str]:
    """Look for a leader of the log, optionally other than a given instance."""
    other = None if tree.children[0] is None else world.resolve(tree.children)[0]
    found = world.find_leader()
    return found is not None and found != other, f"leader {found}"


@register_condition
def voters_are(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the voters as the leader knows them."""
    found_leader = world.find_leader()
    known = world.status(found_leader).get("voters") if found_leader else None
    return known == sorted(world.resolve(tree.children)), f"leader {found_leader}, voters {known}"


@register_condition
def winners(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare how many changes of a race were applied; every other one must be refused as stale."""
    name, count = tree.children
    answers_ = world.changes[name]
    applied = sum(one.status == 200 for one in answers_)
    stale = sum(one.status == 409 for one in answers_)
    agrees = applied == int(count) and applied + stale == len(answers_)
    return agrees, f"applied {applied}, stale {stale}, of {len(answers_)}"


@register_condition
def same(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the answers to two changes."""
    first, second = (world.changes[name][-1] for name in tree.children)
    agrees = first.status == second.status == 200 and first.body == second.body
    return agrees, f"{first.status} {first.body!r}, {second.status} {second.body!r}"


@register_condition
def changed(world: World, tree: Tree) -> tuple[bool, str]:
    """Count the entries of a request id in the history."""
    request_id, count = tree.children
    answer = world.deployment.call_operator_api(
        "history?limit=1000", instance=world.live_instances()[0]
    )
    if answer.status != 200:
        return False, f"history status {answer.status}"
    found = sum(one["command"]["request_id"] == request_id for one in answer.json()["entries"])
    return found == int(count), f"{found} entries"


@register_condition
def operation(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the state of an operation in the journal."""
    key, state = tree.children
    path = f"operations/skylight/{key}"
    answer = world.deployment.call_operator_api(path, instance=world.live_instances()[0])
    found = answer.json().get("state") if answer.status == 200 else None
    return found == state, f"state {found}, status {answer.status}"


@register_condition
def state_of(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the state of instances."""
    state, *names = tree.children
    found = {name: world.status(name).get("state") for name in world.resolve(names)}
    return all(one == state for one in found.values()), f"states {found}"


@register_condition
def service_is(world: World, tree: Tree) -> tuple[bool, str]:
    """Compare the declared service state of a failure domain, instance or upstream."""
    name, state, at = tree.children
    found = {one: world.service_state(one, str(name)) for one in world.resolve(at.children)}
    return all(one == state for one in found.values()), f"service states {found}"
