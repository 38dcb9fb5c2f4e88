"""Changes of the configuration that a test or a run makes beside a fault."""

import json
from collections.abc import Callable
from dataclasses import dataclass

from laburnumrock.platform.soak._operator import make_routes
from laburnumrock.platform.soak._schedule import REQUEST_KINDS

SINGLE_STREAM = "single"
"""Kind of streams that may run once at most, and so are not resumed."""
CHANGE_KINDS = (*REQUEST_KINDS, SINGLE_STREAM)
"""Kinds of requests for which `make_changed_routes` makes a route, by the first path segment."""
SPARE_SERVICE = "spare"
"""Service without upstreams."""

EditFunction = Callable[[dict], None]


@dataclass(frozen=True, slots=True)
class Change:
    """Change of a route configuration.

    Parameters
    ----------
    name : str
        Name in `CHANGES`.
    edit : callable
        Edits the JSON document of a configuration.
    denies : bool
        Whether the new configuration may deny requests that the old one allows; a request that was
        read before the change must still be answered.
    """

    name: str
    edit: EditFunction
    denies: bool = False


CHANGES: dict[str, Change] = {}


def register_change(name: str, denies: bool = False) -> Callable[[EditFunction], EditFunction]:
    """Register a function that edits the document of a configuration."""

    def register(edit: EditFunction) -> EditFunction:
        CHANGES[name] = Change(name, edit, denies)
        return edit

    return register


def make_changed_routes(version: int, change: str) -> dict:
    """Return a route configuration with a route for each of `CHANGE_KINDS`, after a change."""
    document = json.loads(make_routes(version))
    stream = next(route for route in document["routes"] if route["name"] == "stream")
    single = {"name": SINGLE_STREAM, "path_prefix": f"/{SINGLE_STREAM}/", "resumable": False}
    document["routes"].append({**stream, **single})
    CHANGES[change].edit(document)
    return document


def _list_load_routes(document: dict) -> list[dict]:
    """Return the routes of the load, without the one that shows which version is in force."""
    return [route for route in document["routes"] if route["name"] != "probe"]


def _add_service(document: dict) -> None:
    document["services"].append({"name": SPARE_SERVICE})


@register_change("none")
def _leave_all(document: dict) -> None:
    """Submit a new version with the same content."""


@register_change("route moved", denies=True)
def _move_routes(document: dict) -> None:
    _add_service(document)
    for route in _list_load_routes(document):
        route["service"] = SPARE_SERVICE


@register_change("route removed", denies=True)
def _remove_routes(document: dict) -> None:
    document["routes"] = [route for route in document["routes"] if route["name"] == "probe"]


@register_change("route added")
def _add_route(document: dict) -> None:
    route = _list_load_routes(document)[-1]
    document["routes"].append({**route, "name": "new", "path_prefix": "/new/"})


@register_change("route longer", denies=True)
def _add_longer_route(document: dict) -> None:
    """Add a route with a longer prefix that takes the requests of another one."""
    _add_service(document)
    for route in _list_load_routes(document):
        longer = {"name": f"{route['name']}-longer", "path_prefix": f"{route['path_prefix']}x/"}
        document["routes"].append({**route, **longer, "service": SPARE_SERVICE})


@register_change("weights")
def _change_weights(document: dict) -> None:
    _add_service(document)
    for route in _list_load_routes(document):
        service = route.pop("service")
        weights = {service: 99, SPARE_SERVICE: 0}
        route["backends"] = [{"service": name, "weight": weights[name]} for name in weights]


@register_change("timeout")
def _shorten_timeout(document: dict) -> None:
    for route in _list_load_routes(document):
        route["timeout_ms"] = 4_000


@register_change("goals")
def _change_goals(document: dict) -> None:
    for route in _list_load_routes(document):
        route["latency_goal_ms"] = 50
        route["gap_target_ms"] = 10
        route["priority"] = 9


@register_change("attempts")
def _limit_attempts(document: dict) -> None:
    for route in _list_load_routes(document):
        route["max_attempts"] = 1


@register_change("route type")
def _change_types(document: dict) -> None:
    for route in _list_load_routes(document):
        route["type"] = "non_idempotent"
        route["resumable"] = False


@register_change("key", denies=True)
def _replace_keys(document: dict) -> None:
    for tenant in document["tenants"]:
        tenant["api_keys"] = ["another-key"]


@register_change("tenant renamed")
def _rename_tenants(document: dict) -> None:
    for tenant in document["tenants"]:
        tenant["name"] = f"{tenant['name']}-renamed"


@register_change("tenant priority")
def _lower_tenants(document: dict) -> None:
    for tenant in document["tenants"]:
        tenant["priority"] = 9


@register_change("idle timeout")
def _shorten_idle_timeout(document: dict) -> None:
    document["limits"]["idle_timeout_ms"] = 200


@register_change("limits", denies=True)
def _lower_limits(document: dict) -> None:
    document["limits"] |= {"max_header_bytes": 64, "max_body_bytes": 1, "header_timeout_ms": 100}


@register_change("service added")
def _add_spare_service(document: dict) -> None:
    _add_service(document)


@register_change("service smaller")
def _shrink_services(document: dict) -> None:
    """Lower what a service may hold at once, below what its upstreams run now."""
    for service in document["services"]:
        service["max_conns"] = 1
        if "engine" in service:
            service["engine"] |= {"slots": 1, "kv_capacity": 20_000}
