"""Human-readable output of the status and of operations."""

from datetime import timedelta

POOL_ROW = "  {:<{width}} {:<10} {:<6} {:>9} {:>8} {:>14} {:>12}"


def describe_status(document: dict) -> list[str]:
    """Return the lines of a status document.

    Parameters
    ----------
    document : dict
        Response to ``GET status``.

    Returns
    -------
    list of str
        State of the instance and of the log, then one line per pool.
    """
    # Holds that have entered the log are still listed but no longer have an effect.
    local = [hold for hold in document.get("holds", []) if hold["entered_revision"] is None]
    holds = [str(hold["failure_domain"]) for hold in local]
    lines = [
        f"instance:         {document.get('instance')} in {document.get('failure_domain')}",
        f"state:            {document.get('state')}",
        f"running requests: {document.get('running_requests')}",
        f"declarations:     revision {document.get('revision')}, {_describe_age(document)}",
        f"holds:            {_join_or_none(holds)}",
        f"coordinator:      {document.get('coordinator') or 'none'}",
        f"log:              {_describe_log(document)}",
        f"voters:           {_join_or_none(document.get('voters') or [])}",
    ]
    pools = document.get("pools", {})
    if not pools:
        return [*lines, "pools:            none"]
    header = ("pool", "owner", "in use", "upstreams", "queued", "free KV tokens", "wait (short)")
    width = max(map(len, pools))
    lines.append(POOL_ROW.format(*header, width=width).rstrip())
    return lines + [_describe_pool(name, pools[name], width) for name in sorted(pools)]


def describe_operation(account: str, key: str, document: dict) -> list[str]:
    """Return the lines of an operation that may not be repeated."""
    lines = [
        f"operation: {key} of {account}",
        f"state:     {document.get('state')}",
        f"age:       {timedelta(seconds=round(document.get('age_s', 0.0)))}",
    ]
    if document.get("source"):
        lines.append(f"source:    {document['source']}")
    response = document.get("answer")
    if response is not None:
        lines.append(f"answer:    status {response['status']}")
        lines.append("(body not recorded)" if response.get("body_omitted") else response["body"])
    return lines


def _describe_age(document: dict) -> str:
    age_s = document.get("confirmed_age_s")
    confirmed = "never confirmed" if age_s is None else f"confirmed {age_s:.1f} s ago"
    return f"stale, {confirmed}" if document.get("stale") else confirmed


def _describe_log(document: dict) -> str:
    role = "leader" if document.get("log_leader") else "not leader"
    return f"{role}, term {document.get('log_term')}"


def _describe_pool(name: str, pool: dict, width: int) -> str:
    load = pool.get("load")
    owner = pool.get("owner") or "none"
    if load is None:
        return POOL_ROW.format(name, owner, "?", "?", "?", "?", "?", width=width)
    wait = f"{load['expected_wait_s'].get('short', 0.0):.1f} s"
    in_use = "yes" if load["in_service"] else "no"
    numbers = load["upstreams"], load["queued"], f"{load['free_kv_tokens']:,}", wait
    return POOL_ROW.format(name, owner, in_use, *numbers, width=width)


def _join_or_none(names) -> str:
    return ", ".join(names) or "none"
