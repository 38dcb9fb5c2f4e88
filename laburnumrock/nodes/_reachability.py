"""What an entry node infers from the hellos that it sends to cores."""

from collections.abc import Mapping

HELLO_INTERVAL_S = 0.5
"""Shortest interval of the hellos of an entry node."""
MAX_HELLO_INTERVAL_S = 1.5
"""Longest interval; a leader drops an entry node after 4 s without a hello."""
MAX_HELLOS_PER_S = 150.0
"""Hellos that all entry nodes together send to the leader per second. Each costs it 0.2 ms of CPU
time, so 200 entry nodes that send two per second would take an eighth of a small core."""


def compute_hello_interval_s(entry_count: int) -> float:
    """Return the interval of the hellos of each of `entry_count` entry nodes, in seconds."""
    return min(MAX_HELLO_INTERVAL_S, max(HELLO_INTERVAL_S, entry_count / MAX_HELLOS_PER_S))


def infer_unreachable_domains(
    own_domain: str, core_domains: Mapping[str, str], answered: Mapping[str, bool]
) -> set[str]:
    """Infer which failure domains are partitioned from the cores that did not answer.

    Parameters
    ----------
    own_domain : str
        Failure domain of the entry node.
    core_domains : mapping of str to str
        Failure domain of each core that has answered before.
    answered : mapping of str to bool
        Whether each core answered the last hello.

    Returns
    -------
    set of str
        Failure domains none of whose cores answered.

    Notes
    -----
    Answers the load pattern of a failure domain that is cut off: its entry nodes have no leader,
    and each request to an upstream beyond the cut is silent for a second. If the core of the own
    domain does not answer either, the cores rather than the links have failed, and nothing is
    inferred.
    """
    reached = {core_domains.get(core, "") for core, answer in answered.items() if answer}
    silent = {core_domains.get(core, "") for core, answer in answered.items() if not answer}
    if own_domain not in reached:
        return set()
    return silent - reached - {"", own_domain}
