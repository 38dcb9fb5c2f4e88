"""Tree along which the instances of a failure domain fetch declarations."""

from laburnumrock.settings import InstanceSettings

FAN_OUT = 6
# Instances of a domain that may replace its root. Only they ask voters of other domains in normal
# operation, so that the load on a voter grows with the number of domains and not of instances.
ROOT_CANDIDATES = 3


def order_domain(settings: InstanceSettings) -> list[str]:
    """Return the instances of the own failure domain in tree order, voters first."""
    peers = settings.list_domain_peers(settings.failure_domain)
    peers.sort(key=lambda peer: (not peer.voter, peer.instance_id))
    return [peer.instance_id for peer in peers]


def order_sources(settings: InstanceSettings) -> list[str]:
    """Return the instances to fetch from, the preferred one first.

    Returns
    -------
    list of str
        Ancestors in the tree, root candidates, voters, and the rest of the domain. Voters come
        before the root candidates for the candidates themselves.
    """
    own = settings.instance_id
    domain = order_domain(settings)
    position = domain.index(own)
    candidates = domain[:ROOT_CANDIDATES]
    voters = _rotate_voters(settings, position)
    middle = voters + candidates if own in candidates else candidates + voters
    sources = dict.fromkeys([*_find_ancestors(domain, position), *middle, *domain])
    sources.pop(own, None)
    return list(sources)


def _find_ancestors(domain: list[str], position: int) -> list[str]:
    ancestors = []
    while position > 0:
        position = (position - 1) // FAN_OUT
        ancestors.append(domain[position])
    return ancestors


def _rotate_voters(settings: InstanceSettings, position: int) -> list[str]:
    """Spread the domains and their instances over the voters."""
    voters = [peer.instance_id for peer in settings.voters()]
    if not voters:
        return []
    domains = sorted({peer.failure_domain for peer in settings.peers})
    start = (domains.index(settings.failure_domain) + position) % len(voters)
    return voters[start:] + voters[:start]
