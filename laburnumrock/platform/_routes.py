"""Decoding of route configurations that operators of the platform submit."""

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.routing import (
    AccountEntry,
    EngineParameters,
    RequestKind,
    Route,
    RouteLimits,
    RouteSet,
    Service,
    ServiceShare,
)

MS_PER_S = 1000.0


def decode_routes(document: bytes) -> Result[RouteSet, Failure]:
    """Decode and validate a route configuration.

    Parameters
    ----------
    document : bytes
        JSON text.

    Returns
    -------
    Result
        The routes, or a failure of kind ``invalid_declaration`` that names the invalid field.
    """
    try:
        routes = _decode(parse_json(document))
        _check(routes)
    except KeyError as error:
        return Err(Failure(ErrorKind.INVALID_DECLARATION, f"{error} is missing"))
    except (ValueError, TypeError, AttributeError) as error:
        return Err(Failure(ErrorKind.INVALID_DECLARATION, str(error)))
    return Ok(routes)


def _decode(config: dict) -> RouteSet:
    version = config["version"]
    if type(version) is not int or version < 0:
        raise ValueError(f"version: expected a whole number, got {version!r}")
    tenants = config.get("tenants")
    return RouteSet(
        version=version,
        routes=tuple(_decode_route(entry) for entry in config["routes"]),
        services=tuple(_decode_service(entry) for entry in config["services"]),
        accounts=None if tenants is None else tuple(_decode_tenant(entry) for entry in tenants),
        limits=_decode_limits(config.get("limits") or {}),
    )


def _decode_route(entry: dict) -> Route:
    name = entry["name"]
    prefix = entry["path_prefix"]
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"routes {name}: path_prefix must begin and end with a slash")
    if entry["timeout_ms"] <= 0:
        raise ValueError(f"routes {name}: timeout_ms must be > 0, got {entry['timeout_ms']}")
    # A route refers either to one service or to several weighted ones.
    if entry.get("backends"):
        shares = tuple(
            ServiceShare(backend["service"], float(backend["weight"]))
            for backend in entry["backends"]
        )
    else:
        shares = (ServiceShare(entry["service"]),)
    return Route(
        name=name,
        host=entry["hostname"].lower(),
        path_prefix=prefix,
        kind=RequestKind(entry["type"]),
        shares=shares,
        timeout_s=entry["timeout_ms"] / MS_PER_S,
        goal_s=(entry.get("latency_goal_ms") or entry["timeout_ms"]) / MS_PER_S,
        gap_goal_s=(entry.get("gap_target_ms") or 0) / MS_PER_S,
        max_attempts=max(1, entry.get("max_attempts") or 1),
        priority=entry.get("priority") or 0,
        anonymous=bool(entry.get("anonymous")),
        resumable=bool(entry.get("resumable")),
    )


def _decode_service(entry: dict) -> Service:
    engine = entry.get("engine")
    return Service(
        name=entry["name"],
        max_connections=entry.get("max_conns") or 0,
        cold_requests_per_s=entry.get("cold_per_s") or 0.0,
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(entry: dict) -> EngineParameters:
    typical_sizes = entry.get("usual") or {}
    return EngineParameters(
        slots=entry["slots"],
        kv_capacity_tokens=entry["kv_capacity"],
        stride=entry["stride"],
        step_ms=entry["step_ms"],
        per_sequence_ms=entry["per_seq_ms"],
        # Milliseconds that each 1,000 tokens of context add to a step.
        context_ms_per_1k=entry["context_per_k"],
        prefill_tokens_per_s=entry["read_per_s"],
        attention_ms_per_million_pairs=entry["pairs_per_m"],
        chunk_tokens=entry["chunk"],
        hop_ms=entry.get("hop_ms") or 0.0,
        mean_prompt_tokens=typical_sizes.get("prompt", 1_000),
        mean_output_tokens=typical_sizes.get("answer", 100),
    )


def _decode_tenant(entry: dict) -> AccountEntry:
    return AccountEntry(entry["name"], tuple(entry["api_keys"]), entry.get("priority"))


def _decode_limits(entry: dict) -> RouteLimits:
    default = RouteLimits()
    return RouteLimits(
        max_header_bytes=entry.get("max_header_bytes") or default.max_header_bytes,
        max_body_bytes=entry.get("max_body_bytes") or default.max_body_bytes,
        idle_timeout_s=(entry.get("idle_timeout_ms") or 15_000) / MS_PER_S,
    )


def _check(routes: RouteSet) -> None:
    services = {service.name for service in routes.services}
    host_prefixes = set()
    for route in routes.routes:
        host_prefix = (route.host, route.path_prefix)
        if host_prefix in host_prefixes:
            raise ValueError(f"routes {route.name}: another route has its host and prefix")
        host_prefixes.add(host_prefix)
        for share in route.shares:
            if share.service not in services:
                raise ValueError(f"routes {route.name}: service {share.service!r} is unknown")
            if share.weight < 0:
                raise ValueError(f"routes {route.name}: a weight is below 0")
        if sum(share.weight for share in route.shares) <= 0:
            raise ValueError(f"routes {route.name}: the weights add up to 0")
    keys = set()
    for account in routes.accounts or ():
        for key in account.keys:
            if key in keys:
                raise ValueError(f"tenants {account.name}: another tenant holds the same key")
            keys.add(key)
