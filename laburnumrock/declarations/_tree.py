"""Tree in which the instances of a failure domain fetch declarations from their parents."""

from laburnumrock.settings import InstanceSettings

FAN_OUT = 6
# Instances of a domain that may take the place of its root. In normal operation only they fetch
# from voters of other domains, so the load on a voter grows with the number of domains and not with
# that of instances.
ROOT_CANDIDATES = 3


def list_domain_in_tree_order(settings: InstanceSettings) -> list[str]:
    """Return the instances of this failure domain in tree order, voters first."""
    peers = settings.list_domain_peers(settings.failure_domain)
    peers.sort(key=lambda peer: (not peer.voter, peer.instance_id))
    return [peer.instance_id for peer in peers]


def list_fetch_sources(settings: InstanceSettings) -> list[str]:
    """Return the instances to fetch from in order of preference.

    Returns
    -------
    list of str
        Ancestors in the tree, root candidates, voters, and the rest of the domain. For a root
        candidate, voters come before the other root candidates.
    """
    own = settings.instance_id
    domain = list_domain_in_tree_order(settings)
    position = domain.index(own)
    candidates = domain[:ROOT_CANDIDATES]
    voters = _rotate_voters(settings, position)
    voters_and_candidates = voters + candidates if own in candidates else candidates + voters
    sources = dict.fromkeys([*_find_ancestors(domain, position), *voters_and_candidates, *domain])
    sources.pop(own, None)
    return list(sources)


def _find_ancestors(domain: list[str], position: int) -> list[str]:
    ancestors = []
    while position > 0:
        position = (position - 1) // FAN_OUT
        ancestors.append(domain[position])
    return ancestors


def _rotate_voters(settings: InstanceSettings, position: int) -> list[str]:
    """Return the voters, rotated so that domains and instances spread their load over them."""
    voters = [peer.instance_id for peer in settings.voters()]
    if not voters:
        return []
    domains = sorted({peer.failure_domain for peer in settings.peers})
    start = (domains.index(settings.failure_domain) + position) % len(voters)
    return voters[start:] + voters[:start]
