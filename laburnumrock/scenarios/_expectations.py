"""Conditions that ``expect`` statements check."""

from collections.abc import Callable

from lark import Tree

from laburnumrock.scenarios._test_context import ScenarioContext

Condition = Callable[[ScenarioContext, Tree], tuple[bool, str]]
CONDITIONS: dict[str, Condition] = {}


def register_condition(function: Condition) -> Condition:
    """Register a condition under the name of its rule in the grammar."""
    CONDITIONS[function.__name__] = function
    return function


@register_condition
def answers(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Check that a number of calls of a batch, by default all, have the expected outcome."""
    name, count, verdict = tree.children
    batch = context.batches[name]
    required = len(batch.futures) if count is None else int(count)
    found = sum(_matches_verdict(record, verdict) for record in batch.records)
    return found >= required, batch.describe()


def _matches_verdict(record, verdict: Tree) -> bool:
    is_complete = record.result == "completed" and record.fault is None
    # If the call may have run, the refusal has an outcome other than "not_run".
    is_refused = record.result == "refused" and record.outcome == "not_run"
    if verdict.data == "whole":
        return is_complete
    if verdict.data == "replayed":
        return is_complete and record.is_replay
    if verdict.data == "recorded":
        # An outcome recorded by an operator has no response body from the application engine.
        return record.status == 200 and record.is_replay
    if verdict.data == "whole_or_refused":
        return is_complete or is_refused
    kind, outcome = verdict.children
    matches = record.result == "refused" and record.error_kind == kind
    return matches and (outcome is None or record.outcome == outcome)


@register_condition
def executions(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the number of executions of each operation of a batch."""
    name, comparison, count = tree.children
    counts = context.executions()
    found = [counts.get(key, 0) for key in context.batches[name].keys]
    matches = all(_matches_count(executed, comparison, count) for executed in found)
    return matches, f"executions {found}"


def _matches_count(found: int, comparison: str, count: str) -> bool:
    return found == int(count) if comparison == "=" else found <= int(count)


@register_condition
def revision(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Check that instances have reached the highest revision returned to this scenario."""
    lagging = context.find_lagging_revisions(context.revision, context.resolve_names(tree.children))
    return not lagging, f"revision {context.revision}, lagging {lagging}"


@register_condition
def work(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Check for tokens or calls processed since the first evaluation of the statement."""
    names = [context.roles.get(str(name), str(name)) for name in tree.children]
    done = context.count_work(names)
    # The first counts are stored on the tree, which belongs to one statement of one run.
    if not hasattr(tree, "first_counts"):
        tree.first_counts = done
    added = {name: done[name] - tree.first_counts.get(name, 0) for name in done}
    return any(added.values()), f"new tokens and calls {added}"


@register_condition
def held(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the total number of KV-cache tokens in use on all engines."""
    tokens = {name: load["kv_used_tokens"] for name, load in context.engine_loads().items()}
    return sum(tokens.values()) == int(tree.children[0]), f"KV tokens {tokens}"


@register_condition
def cold_overloads(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare how often a cold engine received more requests than it can handle."""
    counts = {name: load["cold_overload_events"] for name, load in context.engine_loads().items()}
    comparison, count = tree.children
    return _matches_count(sum(counts.values()), comparison, count), f"cold overloads {counts}"


@register_condition
def limit_excesses(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare how often an engine received more requests than the limit that it announces."""
    counts = {name: load["limit_excess_events"] for name, load in context.engine_loads().items()}
    comparison, count = tree.children
    return _matches_count(sum(counts.values()), comparison, count), f"limit excesses {counts}"


@register_condition
def exit_status(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the exit statuses of stopped instances."""
    status, *names = tree.children
    found = {name: context.exit_statuses.get(name) for name in context.resolve_names(names)}
    return all(exited == int(status) for exited in found.values()), f"exit status {found}"


@register_condition
def leader(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Check that the log has a leader, optionally other than a given instance."""
    excluded = None if tree.children[0] is None else context.resolve_names(tree.children)[0]
    found = context.find_leader()
    return found is not None and found != excluded, f"leader {found}"


@register_condition
def voters_are(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the voters that the log leader reports."""
    found_leader = context.find_leader()
    found_voters = context.status(found_leader).get("voters") if found_leader else None
    return (
        found_voters == sorted(context.resolve_names(tree.children)),
        f"leader {found_leader}, voters {found_voters}",
    )


@register_condition
def winners(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the number of applied changes of a race; all others must be refused as stale."""
    name, count = tree.children
    responses = context.changes[name]
    applied = sum(response.status == 200 for response in responses)
    stale = sum(response.status == 409 for response in responses)
    matches = applied == int(count) and applied + stale == len(responses)
    return matches, f"applied {applied}, stale {stale}, of {len(responses)}"


@register_condition
def same(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Check that two changes succeeded with identical responses."""
    first, second = (context.changes[name][-1] for name in tree.children)
    matches = first.status == second.status == 200 and first.body == second.body
    return matches, f"{first.status} {first.body!r}, {second.status} {second.body!r}"


@register_condition
def changed(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the number of history entries with a request id."""
    request_id, count = tree.children
    response = context.deployment.call_operator_api(
        "history?limit=1000", instance=context.live_instances()[0]
    )
    if response.status != 200:
        return False, f"history status {response.status}"
    found = sum(
        entry["command"]["request_id"] == request_id for entry in response.json()["entries"]
    )
    return found == int(count), f"{found} entries"


@register_condition
def operation(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the state of an operation in the operation journal."""
    key, state = tree.children
    path = f"operations/skylight/{key}"
    response = context.deployment.call_operator_api(path, instance=context.live_instances()[0])
    found = response.json().get("state") if response.status == 200 else None
    return found == state, f"state {found}, status {response.status}"


@register_condition
def state_of(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the state that instances report."""
    state, *names = tree.children
    found = {name: context.status(name).get("state") for name in context.resolve_names(names)}
    return all(current == state for current in found.values()), f"states {found}"


@register_condition
def service_is(context: ScenarioContext, tree: Tree) -> tuple[bool, str]:
    """Compare the declared service state of a failure domain, instance or upstream."""
    name, state, at = tree.children
    found = {
        instance: context.service_state(instance, str(name))
        for instance in context.resolve_names(at.children)
    }
    return all(current == state for current in found.values()), f"service states {found}"
