"""Implementation of the statements of the scenario language."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from lark import Tree

from laburnumrock.scenarios._calls import ACCOUNT, make_service, make_template
from laburnumrock.scenarios._expectations import CONDITIONS
from laburnumrock.scenarios._http import request_json
from laburnumrock.scenarios._script import read_options
from laburnumrock.scenarios._test_context import ScenarioContext, StepError, poll

READY_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 5.0
ROUTES_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
ROLE_TIMEOUT_S = 5.0
# Time to wait for an instance to reach the current revision before a change is based on its
# revision; an isolated instance does not reach it.
REVISION_WAIT_S = 0.5

# Executes a statement. Returns the detail text for the report; raises StepError on failure.
Step = Callable[[ScenarioContext, Tree], str | None]
STEPS: dict[str, Step] = {}


def register_step(function: Step) -> Step:
    """Register the function of a statement under the name of its grammar rule."""
    STEPS[function.__name__.rstrip("_")] = function
    return function


def apply_changes(context: ScenarioContext, instance: str, changes: list) -> None:
    """Apply changes that do not compete with those of another operator; raises if refused."""
    base = context.revision or context.base_revision(instance)
    response = context.post_change(instance, context.make_change_id(), base, changes)
    if response.status != 200:
        raise StepError(f"status {response.status} {response.body.decode()}")


@register_step
def declare(context: ScenarioContext, tree: Tree) -> str:
    """Declare the client account and the service; wait until every instance can route calls."""
    apply_changes(context, context.live_instances()[0], [make_template(), make_service()])
    waiting = list(context.deployment.instances)
    started_s = time.monotonic()
    poll(lambda: not context.find_lagging_revisions(context.revision, waiting), IN_FORCE_TIMEOUT_S)
    in_force_s = time.monotonic() - started_s

    def has_routes() -> bool:
        waiting[:] = [name for name in waiting if not context.can_route(name)]
        return not waiting

    if not poll(has_routes, ROUTES_TIMEOUT_S):
        raise StepError(f"no route on {', '.join(waiting)} within {ROUTES_TIMEOUT_S} s")
    return f"revision {context.revision} in force after {in_force_s:.2f} s"


@register_step
def submit(context: ScenarioContext, tree: Tree) -> None:
    """Send a batch of calls in the background."""
    count, kind, name, *_, at = tree.children
    urls = [context.get_caller_url(instance) for instance in context.select_instances(at)]
    context.batches[name] = context.sender.submit(
        str(name), str(kind), int(count), urls, read_options(tree)
    )


@register_step
def act(context: ScenarioContext, tree: Tree) -> str:
    """Kill, freeze, thaw, launch, stop or restart processes, or remove their data."""
    action, *names = tree.children
    details = []
    for name in context.resolve_names(names):
        details.append(_act_on(context, str(action), name))
    return ", ".join(detail for detail in details if detail)


def _act_on(context: ScenarioContext, action: str, name: str) -> str:
    group = context.group
    if action in ("kill", "freeze", "stop"):
        context.unavailable.add(name)
    if action == "kill":
        group.kill(name)
    elif action == "freeze":
        group.pause(name)
    elif action == "thaw":
        group.resume(name)
        context.unavailable.discard(name)
    elif action == "lose_disk":
        group.remove_data(name)
    elif action == "launch":
        group.start(name)
        context.unavailable.discard(name)
    else:
        return _stop_or_restart(context, action, name)
    return name


def _stop_or_restart(context: ScenarioContext, action: str, name: str) -> str:
    detail = name
    context.unavailable.add(name)
    if context.group.processes[name].is_running:
        started_s = time.monotonic()
        context.exit_statuses[name] = context.group.stop(name, STOP_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_s
        detail += f" stopped with status {context.exit_statuses[name]} in {elapsed_s:.2f} s"
    if action == "restart":
        context.group.start(name)
        ready_s = context.group.wait_ready(READY_TIMEOUT_S, [name])
        context.unavailable.discard(name)
        detail += f" ready after {ready_s:.2f} s"
    return detail


@register_step
def cut(context: ScenarioContext, tree: Tree) -> None:
    """Cut the links between two groups; connections stay open but carry no data."""
    first, second = (context.resolve_names(group.children) for group in tree.children)
    context.deployment.cut(first, second)


@register_step
def heal(context: ScenarioContext, tree: Tree) -> None:
    """Open every link and remove its delay."""
    context.deployment.heal()


@register_step
def service_state(context: ScenarioContext, tree: Tree) -> str:
    """Drain or restore a domain, instance or upstream; wait until all live instances apply it."""
    action, name, at = tree.children
    domains = context.deployment.plan.failure_domains
    kind = "failure_domain" if name in domains else "upstream"
    kind = "instance" if name in context.deployment.instances else kind
    state = "drained" if action == "drain" else "in_service"
    declared = {"type": "service_state", "kind": kind, "name": str(name), "state": state}
    instance = context.select_instances(at)[0]
    # A local hold that was committed to the log raises the revision without a response to the
    # scenario.
    context.revision = max(context.revision, context.base_revision(instance))
    started_s = time.monotonic()
    apply_changes(context, instance, [{"action": "put", "declaration": declared}])
    live = context.live_instances()
    poll(lambda: not context.find_lagging_revisions(context.revision, live), IN_FORCE_TIMEOUT_S)
    lagging = context.find_lagging_revisions(context.revision, live)
    if lagging:
        raise StepError(f"revision not in force after {IN_FORCE_TIMEOUT_S} s at {lagging}")
    return f"in force after {time.monotonic() - started_s:.2f} s"


@register_step
def apply(context: ScenarioContext, tree: Tree) -> str:
    """Apply a number of changes sequentially."""
    count, at = int(tree.children[0]), tree.children[1]
    instance = context.select_instances(at)[0]
    started_s = time.monotonic()
    for index in range(count):
        apply_changes(context, instance, [make_template(index % 100)])
    return (
        f"revision {context.revision}, {(time.monotonic() - started_s) / count * 1000:.1f} ms each"
    )


@register_step
def change(context: ScenarioContext, tree: Tree) -> str:
    """Submit a change with a given request id; ``lost_change`` does not read the response."""
    action, request_id, name, at = tree.children
    instance = context.select_instances(at)[0]
    poll(lambda: not context.find_lagging_revisions(context.revision, [instance]), REVISION_WAIT_S)
    # A retry uses the same base revision as the first attempt.
    base = context.change_base_revisions.setdefault(
        str(request_id), context.base_revision(instance)
    )
    changes = [make_template(priority=7)]
    if action == "lost_change":
        body = {"request_id": request_id, "base_revision": base, "changes": changes}
        context.post_and_close(instance, json.dumps(body).encode())
        return ""
    response = context.post_change(instance, request_id, base, changes)
    context.changes[name] = [response]
    return f"status {response.status} {response.body.decode().strip()}"


@register_step
def race(context: ScenarioContext, tree: Tree) -> str:
    """Submit concurrent changes with the same base revision, round-robin to the instances."""
    count, name, at = int(tree.children[0]), tree.children[1], tree.children[2]
    instances = context.select_instances(at)
    base = max(context.revision, context.base_revision(instances[0]))

    def post(index: int):
        instance = instances[index % len(instances)]
        changes = [make_template(priority=index)]
        return context.post_change(instance, f"{name}-{index}", base, changes)

    with ThreadPoolExecutor(count) as pool:
        context.changes[name] = list(pool.map(post, range(count)))
    return f"statuses {sorted(response.status for response in context.changes[name])}"


@register_step
def hold(context: ScenarioContext, tree: Tree) -> str:
    """Place a local hold on a failure domain."""
    domain, at = tree.children
    instance = context.select_instances(at)[0]
    return _post_to_operator_api(context, "holds", {"failure_domain": str(domain)}, instance)


@register_step
def reconcile(context: ScenarioContext, tree: Tree) -> str:
    """Record the outcome of an operation whose outcome is unknown."""
    key, outcome, source, at = tree.children
    body = {"outcome": str(outcome), "source": source.strip('"')}
    path = f"operations/{ACCOUNT.name}/{key}/reconcile"
    return _post_to_operator_api(context, path, body, context.select_instances(at)[0])


@register_step
def voters(context: ScenarioContext, tree: Tree) -> str:
    """Add a voter to the log, or remove one."""
    action, name, at = tree.children
    instance_id = context.resolve_names([name])[0]
    body = {"action": str(action), "instance_id": instance_id}
    return _post_to_operator_api(context, "voters", body, context.select_instances(at)[0])


def _post_to_operator_api(context: ScenarioContext, path: str, body: dict, instance: str) -> str:
    response = context.deployment.call_operator_api(path, body, instance=instance)
    if response.status != 200:
        raise StepError(f"status {response.status} {response.body.decode()}")
    return ""


@register_step
def set_(context: ScenarioContext, tree: Tree) -> None:
    """Set a control option of an upstream emulator."""
    name, control, *_ = tree.children
    upstream = context.deployment.upstreams[context.resolve_names([name])[0]]
    response = request_json(f"{upstream.url}/control/{control}", read_options(tree))
    if response.status != 200:
        raise StepError(f"status {response.status} {response.body.decode()}")


@register_step
def let(context: ScenarioContext, tree: Tree) -> str:
    """Bind a name to the process that currently holds a role."""
    name, role, domain = tree.children
    found = poll(lambda: context.find_role(role, domain), ROLE_TIMEOUT_S)
    if found is None:
        raise StepError(f"no {role} found within {ROLE_TIMEOUT_S} s")
    context.roles[str(name)] = found
    return found


@register_step
def wait(context: ScenarioContext, tree: Tree) -> None:
    """Sleep for a given time."""
    time.sleep(float(tree.children[0]))


@register_step
def expect(context: ScenarioContext, tree: Tree) -> str:
    """Wait until a condition holds, or check that it never holds for a given time."""
    condition, bound = tree.children
    check = CONDITIONS[condition.data]
    limit_s = float(bound.children[0])
    is_never = bound.data == "never"
    started_s = time.monotonic()
    detail = ""

    def holds() -> bool:
        nonlocal detail
        result, detail = check(context, condition)
        return result

    result = poll(holds, limit_s)
    if result == is_never:
        elapsed_s = time.monotonic() - started_s
        verdict = "held" if is_never else "did not hold"
        raise StepError(f"condition {verdict} after {elapsed_s:.1f} s: {detail}")
    return detail
