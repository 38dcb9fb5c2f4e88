"""Lookup of routes and client accounts."""

import random

from laburnumrock.routing._types import AccountEntry, Route, RouteSet, Service


class RouteTable:
    """Index of one version of the declared routes.

    Parameters
    ----------
    routes : RouteSet
        The declared routes.
    """

    def __init__(self, routes: RouteSet) -> None:
        self.version = routes.version
        self.limits = routes.limits
        self.needs_key = routes.accounts is not None
        self.services: dict[str, Service] = {service.name: service for service in routes.services}
        self.by_host: dict[str, dict[str, Route]] = {}
        for route in routes.routes:
            self.by_host.setdefault(route.host, {})[route.path_prefix] = route
        self.by_key: dict[str, AccountEntry] = {}
        for account in routes.accounts or ():
            for key in account.keys:
                self.by_key[key] = account

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix.

        Parameters
        ----------
        host : str
            Host header; port and case are ignored.
        path : str
            Path of the request, with or without a query string.
        """
        prefixes = self.by_host.get(strip_port(host).lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> AccountEntry | None:
        """Return the client account that holds a key."""
        return self.by_key.get(key)

    def choose_service(self, route: Route, rng: random.Random) -> str:
        """Choose one of the route's services at random by weight."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return rng.choices(shares, weights)[0].service


def strip_port(host: str) -> str:
    """Return a Host header without its port."""
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]
