"""Tests of the route table."""

import random

from laburnumrock.routing import (
    AccountEntry,
    RequestKind,
    Route,
    RouteSet,
    RouteTable,
    Service,
    ServiceShare,
)


def make_route(name: str, prefix: str, **changes) -> Route:
    values = {
        "name": name,
        "host": "a.example",
        "path_prefix": prefix,
        "kind": RequestKind.STREAMING,
        "shares": (ServiceShare("llm"),),
        "timeout_s": 10.0,
        "goal_s": 0.3,
    }
    return Route(**{**values, **changes})


def make_table(*routes: Route, accounts=None) -> RouteTable:
    return RouteTable(RouteSet(1, tuple(routes), (Service("llm"),), accounts))


class TestFindRoute:
    def test_longest_prefix_wins(self):
        """Guards against a request that matches a shorter prefix of its host."""
        table = make_table(make_route("short", "/a/"), make_route("long", "/a/b/"))
        assert table.find_route("a.example", "/a/b/c?x=/z/").name == "long"
        assert table.find_route("a.example", "/a/c").name == "short"

    def test_prefix_ends_at_slash(self):
        """Guards against `/ab` being taken for a path below `/a/`."""
        table = make_table(make_route("a", "/a/"))
        assert table.find_route("a.example", "/ab") is None
        assert table.find_route("a.example", "/a") is None

    def test_host_ignores_case_and_port(self):
        """Guards against a 404 for a Host header with a port or capitals."""
        table = make_table(make_route("a", "/"))
        assert table.find_route("A.Example:8080", "/x").name == "a"
        assert table.find_route("b.example", "/x") is None

    def test_slash_in_query_is_no_path(self):
        """Guards against a prefix match in the query string."""
        table = make_table(make_route("q", "/x?y=/a/"), make_route("a", "/a/"))
        assert table.find_route("a.example", "/x?y=/a/b") is None


class TestFindAccount:
    def test_key_names_account(self):
        """Guards against requests that are attributed to another account."""
        accounts = (AccountEntry("one", ("k1", "k2")), AccountEntry("two", ("k3",)))
        table = make_table(make_route("a", "/"), accounts=accounts)
        assert table.needs_key
        assert table.find_account("k2").name == "one"
        assert table.find_account("k4") is None

    def test_no_accounts_need_no_key(self):
        """Guards against status 401 where no account is declared."""
        assert not make_table(make_route("a", "/")).needs_key


class TestChooseService:
    def test_weights(self):
        """Guards against a service of weight 0 that gets requests."""
        shares = (ServiceShare("llm", 3.0), ServiceShare("other", 1.0), ServiceShare("off", 0.0))
        route = make_route("a", "/", shares=shares)
        rng = random.Random(1)
        drawn = [make_table(route).choose_service(route, rng) for _ in range(1000)]
        assert "off" not in drawn
        assert 0.7 < drawn.count("llm") / 1000 < 0.8


class TestMayRetry:
    def test_kinds(self):
        """Guards against a retry of a request that must run at most once."""
        assert make_route("a", "/", kind=RequestKind.IDEMPOTENT).may_retry
        assert not make_route("a", "/", kind=RequestKind.NON_IDEMPOTENT).may_retry
        assert not make_route("a", "/", resumable=False).may_retry
        assert make_route("a", "/", resumable=True).may_retry
