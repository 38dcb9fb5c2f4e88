"""Decoding of route configurations that operators of the platform submit."""

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.platform._fields import read_number, read_text, read_whole
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
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        return Err(Failure(ErrorKind.INVALID_DECLARATION, str(error)))
    return Ok(routes)


def _decode(config: dict) -> RouteSet:
    tenants = config.get("tenants")
    return RouteSet(
        version=read_whole(config, "version"),
        routes=tuple(_decode_route(entry) for entry in config["routes"]),
        services=tuple(_decode_service(entry) for entry in config["services"]),
        accounts=None if tenants is None else tuple(_decode_tenant(entry) for entry in tenants),
        limits=_decode_limits(config.get("limits") or {}),
    )


def _decode_route(entry: dict) -> Route:
    name = read_text(entry, "name")
    prefix = read_text(entry, "path_prefix")
    if not prefix.startswith("/") or not prefix.endswith("/"):
        raise ValueError(f"routes {name}: path_prefix must begin and end with a slash")
    timeout_ms = read_number(entry, "timeout_ms", positive=True)
    # A route refers either to one service or to several weighted ones.
    if entry.get("backends"):
        shares = tuple(
            ServiceShare(read_text(backend, "service"), read_number(backend, "weight"))
            for backend in entry["backends"]
        )
    else:
        shares = (ServiceShare(read_text(entry, "service")),)
    return Route(
        name=name,
        host=read_text(entry, "hostname").lower(),
        path_prefix=prefix,
        kind=RequestKind(entry["type"]),
        shares=shares,
        timeout_s=timeout_ms / MS_PER_S,
        goal_s=(read_number(entry, "latency_goal_ms", 0.0) or timeout_ms) / MS_PER_S,
        gap_goal_s=read_number(entry, "gap_target_ms", 0.0) / MS_PER_S,
        max_attempts=max(1, read_whole(entry, "max_attempts", 1)),
        priority=read_whole(entry, "priority", 0),
        anonymous=bool(entry.get("anonymous")),
        resumable=bool(entry.get("resumable")),
    )


def _decode_service(entry: dict) -> Service:
    engine = entry.get("engine")
    return Service(
        name=read_text(entry, "name"),
        max_connections=read_whole(entry, "max_conns", 0),
        cold_requests_per_s=read_number(entry, "cold_per_s", 0.0),
        engine=None if engine is None else _decode_engine(engine),
    )


def _decode_engine(entry: dict) -> EngineParameters:
    typical_sizes = entry.get("usual") or {}
    return EngineParameters(
        slots=read_whole(entry, "slots", least=1),
        kv_capacity_tokens=read_whole(entry, "kv_capacity", least=1),
        stride=read_whole(entry, "stride", least=1),
        step_ms=read_number(entry, "step_ms"),
        per_sequence_ms=read_number(entry, "per_seq_ms"),
        # Milliseconds that each 1,000 tokens of context add to a step.
        context_ms_per_1k=read_number(entry, "context_per_k"),
        prefill_tokens_per_s=read_number(entry, "read_per_s", positive=True),
        attention_ms_per_million_pairs=read_number(entry, "pairs_per_m"),
        chunk_tokens=read_whole(entry, "chunk", least=1),
        hop_ms=read_number(entry, "hop_ms", 0.0),
        mean_prompt_tokens=read_number(typical_sizes, "prompt", 1_000.0),
        mean_output_tokens=read_number(typical_sizes, "answer", 100.0),
    )


def _decode_tenant(entry: dict) -> AccountEntry:
    keys = entry["api_keys"]
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError("api_keys: expected a list of texts")
    priority = None if entry.get("priority") is None else read_whole(entry, "priority")
    return AccountEntry(read_text(entry, "name"), tuple(keys), priority)


def _decode_limits(entry: dict) -> RouteLimits:
    default = RouteLimits()
    return RouteLimits(
        max_header_bytes=read_whole(entry, "max_header_bytes", 0) or default.max_header_bytes,
        max_body_bytes=read_whole(entry, "max_body_bytes", 0) or default.max_body_bytes,
        header_timeout_s=(read_number(entry, "header_timeout_ms", 0.0) / MS_PER_S)
        or default.header_timeout_s,
        idle_timeout_s=(read_number(entry, "idle_timeout_ms", 0.0) / MS_PER_S)
        or default.idle_timeout_s,
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
        if sum(share.weight for share in route.shares) <= 0:
            raise ValueError(f"routes {route.name}: the weights add up to 0")
    keys = set()
    for account in routes.accounts or ():
        for key in account.keys:
            if key in keys:
                raise ValueError(f"tenants {account.name}: another tenant holds the same key")
            keys.add(key)
