"""Statements of the scenario language."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from lark import Tree

from laburnumrock.scenarios._calls import ACCOUNT, make_service, make_template
from laburnumrock.scenarios._expectations import CONDITIONS
from laburnumrock.scenarios._http import request_json
from laburnumrock.scenarios._script import read_options
from laburnumrock.scenarios._world import StepError, World, poll

READY_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 5.0
ROUTES_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 15.0
ROLE_TIMEOUT_S = 5.0
# Time for the operator to see the present revision at the instance, if it has that at all.
PLANNING_S = 0.5

# A statement returns what the report shows beside it, and raises StepError when it fails.
Step = Callable[[World, Tree], str | None]
STEPS: dict[str, Step] = {}


def register_step(function: Step) -> Step:
    """Register a statement under the name of its rule in the grammar."""
    STEPS[function.__name__.rstrip("_")] = function
    return function


def apply_changes(world: World, instance: str, changes: list) -> None:
    """Apply a change that no other operator competes with."""
    base = world.revision or world.base_revision(instance)
    answer = world.post_change(instance, world.make_change_id(), base, changes)
    if answer.status != 200:
        raise StepError(f"status {answer.status} {answer.body.decode()}")


@register_step
def declare(world: World, tree: Tree) -> str:
    """Declare the account and the service, and wait until every instance routes."""
    apply_changes(world, world.live_instances()[0], [make_template(), make_service()])
    waiting = list(world.deployment.instances)
    started_s = time.monotonic()
    poll(lambda: not world.in_force_at(world.revision, waiting), IN_FORCE_TIMEOUT_S)
    in_force_s = time.monotonic() - started_s

    def has_routes() -> bool:
        waiting[:] = [name for name in waiting if not world.can_route(name)]
        return not waiting

    if not poll(has_routes, ROUTES_TIMEOUT_S):
        raise StepError(f"no route at {', '.join(waiting)} in {ROUTES_TIMEOUT_S} s")
    return f"revision {world.revision} in force after {in_force_s:.2f} s"


@register_step
def submit(world: World, tree: Tree) -> None:
    """Send calls in the background."""
    count, kind, name, *_, at = tree.children
    urls = [world.url_of(one) for one in world.choose(at)]
    world.batches[name] = world.sender.submit(
        str(name), str(kind), int(count), urls, read_options(tree)
    )


@register_step
def act(world: World, tree: Tree) -> str:
    """Kill, freeze, thaw, stop or restart processes, or lose their disks."""
    action, *names = tree.children
    details = []
    for name in world.resolve(names):
        details.append(_act_on(world, str(action), name))
    return ", ".join(detail for detail in details if detail)


def _act_on(world: World, action: str, name: str) -> str:
    group = world.group
    if action in ("kill", "freeze", "stop"):
        world.unusable.add(name)
    if action == "kill":
        group.kill(name)
    elif action == "freeze":
        group.pause(name)
    elif action == "thaw":
        group.resume(name)
        world.unusable.discard(name)
    elif action == "lose_disk":
        group.remove_data(name)
    elif action == "launch":
        group.start(name)
        world.unusable.discard(name)
    else:
        return _stop_or_restart(world, action, name)
    return name


def _stop_or_restart(world: World, action: str, name: str) -> str:
    detail = name
    world.unusable.add(name)
    if world.group.processes[name].is_running:
        started_s = time.monotonic()
        world.exits[name] = world.group.stop(name, STOP_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_s
        detail += f" stopped with {world.exits[name]} in {elapsed_s:.2f} s"
    if action == "restart":
        world.group.start(name)
        ready_s = world.group.wait_ready(READY_TIMEOUT_S, [name])
        world.unusable.discard(name)
        detail += f" ready after {ready_s:.2f} s"
    return detail


@register_step
def cut(world: World, tree: Tree) -> None:
    """Cut the links between two groups; they stay open and carry nothing."""
    first, second = (world.resolve(group.children) for group in tree.children)
    world.deployment.cut(first, second)


@register_step
def heal(world: World, tree: Tree) -> None:
    """Open every link."""
    world.deployment.heal()


@register_step
def service_state(world: World, tree: Tree) -> str:
    """Take something out of service or back, and wait until that is in force everywhere."""
    action, name, at = tree.children
    domains = world.deployment.plan.failure_domains
    kind = "failure_domain" if name in domains else "upstream"
    kind = "instance" if name in world.deployment.instances else kind
    state = "drained" if action == "drain" else "in_service"
    declared = {"type": "service_state", "kind": kind, "name": str(name), "state": state}
    instance = world.choose(at)[0]
    # A hold that entered the log has raised the revision without an answer to an operator.
    world.revision = max(world.revision, world.base_revision(instance))
    started_s = time.monotonic()
    apply_changes(world, instance, [{"action": "put", "declaration": declared}])
    live = world.live_instances()
    poll(lambda: not world.in_force_at(world.revision, live), IN_FORCE_TIMEOUT_S)
    lagging = world.in_force_at(world.revision, live)
    if lagging:
        raise StepError(f"not in force after {IN_FORCE_TIMEOUT_S} s: {lagging}")
    return f"in force after {time.monotonic() - started_s:.2f} s"


@register_step
def apply(world: World, tree: Tree) -> str:
    """Apply many changes one after the other."""
    count, at = int(tree.children[0]), tree.children[1]
    instance = world.choose(at)[0]
    started_s = time.monotonic()
    for index in range(count):
        apply_changes(world, instance, [make_template(index % 100)])
    return f"revision {world.revision}, {(time.monotonic() - started_s) / count * 1000:.1f} ms each"


@register_step
def change(world: World, tree: Tree) -> str:
    """Submit a change with a given request id; ``lost_change`` does not read the answer."""
    action, request_id, name, at = tree.children
    instance = world.choose(at)[0]
    poll(lambda: not world.in_force_at(world.revision, [instance]), PLANNING_S)
    # A resend has the same base revision as the first one.
    base = world.bases.setdefault(str(request_id), world.base_revision(instance))
    changes = [make_template(priority=7)]
    if action == "lost_change":
        body = {"request_id": request_id, "base_revision": base, "changes": changes}
        world.post_and_close(instance, json.dumps(body).encode())
        return ""
    answer = world.post_change(instance, request_id, base, changes)
    world.changes[name] = [answer]
    return f"status {answer.status} {answer.body.decode().strip()}"


@register_step
def race(world: World, tree: Tree) -> str:
    """Submit changes with equal base revisions at once, in turn at the given instances."""
    count, name, at = int(tree.children[0]), tree.children[1], tree.children[2]
    instances = world.choose(at)
    base = max(world.revision, world.base_revision(instances[0]))

    def post(index: int):
        instance = instances[index % len(instances)]
        changes = [make_template(priority=index)]
        return world.post_change(instance, f"{name}-{index}", base, changes)

    with ThreadPoolExecutor(count) as pool:
        world.changes[name] = list(pool.map(post, range(count)))
    return f"statuses {sorted(one.status for one in world.changes[name])}"


@register_step
def hold(world: World, tree: Tree) -> str:
    """Order a local hold of a failure domain."""
    domain, at = tree.children
    instance = world.choose(at)[0]
    return _operate(world, "holds", {"failure_domain": str(domain)}, instance)


@register_step
def reconcile(world: World, tree: Tree) -> str:
    """Record the outcome of an unknown operation."""
    key, outcome, source, at = tree.children
    body = {"outcome": str(outcome), "source": source.strip('"')}
    path = f"operations/{ACCOUNT.name}/{key}/reconcile"
    return _operate(world, path, body, world.choose(at)[0])


@register_step
def voters(world: World, tree: Tree) -> str:
    """Add or remove a voter."""
    action, name, at = tree.children
    instance_id = world.resolve([name])[0]
    body = {"action": str(action), "instance_id": instance_id}
    return _operate(world, "voters", body, world.choose(at)[0])


def _operate(world: World, path: str, body: dict, instance: str) -> str:
    answer = world.deployment.call_operator_api(path, body, instance=instance)
    if answer.status != 200:
        raise StepError(f"status {answer.status} {answer.body.decode()}")
    return ""


@register_step
def set_(world: World, tree: Tree) -> None:
    """Set a control of an emulated upstream."""
    name, control, *_ = tree.children
    upstream = world.deployment.upstreams[world.resolve([name])[0]]
    answer = request_json(f"{upstream.url}/control/{control}", read_options(tree))
    if answer.status != 200:
        raise StepError(f"status {answer.status} {answer.body.decode()}")


@register_step
def let(world: World, tree: Tree) -> str:
    """Bind a name to the process that holds a role now."""
    name, role, domain = tree.children
    found = poll(lambda: world.find_role(role, domain), ROLE_TIMEOUT_S)
    if found is None:
        raise StepError(f"no {role} in {ROLE_TIMEOUT_S} s")
    world.roles[str(name)] = found
    return found


@register_step
def wait(world: World, tree: Tree) -> None:
    """Let time pass."""
    time.sleep(float(tree.children[0]))


@register_step
def expect(world: World, tree: Tree) -> str:
    """Wait for a condition, or watch that it never holds."""
    condition, bound = tree.children
    check = CONDITIONS[condition.data]
    limit_s = float(bound.children[0])
    is_never = bound.data == "never"
    started_s = time.monotonic()
    detail = ""

    def holds() -> bool:
        nonlocal detail
        result, detail = check(world, condition)
        return result

    result = poll(holds, limit_s)
    if result == is_never:
        elapsed_s = time.monotonic() - started_s
        verdict = "held" if is_never else "did not hold"
        raise StepError(f"{verdict} after {elapsed_s:.1f} s: {detail}")
    return detail
