"""Tests of the quota client."""

import asyncio
import time

import pytest

from laburnumrock.admission import (
    QuotaGrant,
    QuotaRefusal,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
)
from laburnumrock.daemon import _quotas
from laburnumrock.daemon._quotas import QuotaClient
from laburnumrock.daemon.tests.fakes import FakeHub, FakeNetwork, make_settings
from laburnumrock.errors import ErrorKind


class _CoordinatorSequence:
    """Returns the given coordinators in turn, then always the last one."""

    def __init__(self, *names):
        self.names = list(names)

    def find_coordinator(self):
        return self.names.pop(0) if len(self.names) > 1 else self.names[0]


def _make_client(coordinators, answer):
    hub = FakeHub()
    settings = make_settings(["a1", "a2"])
    client = QuotaClient(settings["a1"], FakeNetwork(hub, settings["a1"]), coordinators)
    other = FakeNetwork(hub, settings["a2"])
    released = []
    other.handle(QuotaRequest, lambda sender, message: answer(message))
    other.handle(QuotaRelease, lambda sender, message: released.append(message.quota_id))
    return client, released


class TestQuotaClient:
    def test_grant_is_released_where_it_was_granted(self):
        """Quota must be released exactly once at the coordinator that granted it."""

        async def run():
            client, released = _make_client(
                _CoordinatorSequence(None, "a2"), lambda message: QuotaGrant(message.quota_id, 5.0)
            )
            quota_id = (await client.acquire("acct", "caller", 10)).unwrap()
            client.release(quota_id)
            client.release(quota_id)
            await asyncio.sleep(0.01)
            assert released == [quota_id]

        asyncio.run(run())

    def test_held_quota_is_renewed_with_the_new_coordinator(self, monkeypatch):
        """A concurrency slot must not expire while its request is running."""
        monkeypatch.setattr(_quotas, "RENEWAL_S", 0.01)

        async def run():
            coordinators = _CoordinatorSequence("a2")
            client, _ = _make_client(
                coordinators, lambda message: QuotaGrant(message.quota_id, 5.0)
            )
            renewed = []
            client.network.handle(QuotaRenewal, lambda _, message: renewed.append(message))
            await client.start()
            quota_id = (await client.acquire("acct", "caller", 10)).unwrap()
            coordinators.names = ["a1"]
            await asyncio.sleep(0.05)
            await client.stop()
            assert renewed[0].quotas == [QuotaRequest(quota_id, "acct", "caller", 10)]

        asyncio.run(run())

    def test_refusal_reaches_the_caller(self):
        """A refusal by a limit must not be retried and must keep its retry time."""

        async def run():
            client, released = _make_client(
                _CoordinatorSequence("a2"),
                lambda message: QuotaRefusal(message.quota_id, ErrorKind.RATE_LIMITED, 2.5),
            )
            failure = (await client.acquire("acct", "caller", 10)).unwrap_err()
            assert (failure.kind, failure.retry_after_s) == (ErrorKind.RATE_LIMITED, 2.5)
            await asyncio.sleep(0.01)
            assert released == []

        asyncio.run(run())

    @pytest.mark.parametrize("is_known_later", [True, False])
    def test_coordinator_that_lags_behind_a_change(self, is_known_later, monkeypatch):
        """Guards against a permanent refusal of an account that was just declared."""
        monkeypatch.setattr(_quotas, "ACCOUNT_WAIT_S", 0.3, raising=False)

        async def run():
            asked = []

            def answer(message):
                asked.append(message.quota_id)
                if is_known_later and len(asked) > 2:
                    return QuotaGrant(message.quota_id, 5.0)
                return QuotaRefusal(message.quota_id, ErrorKind.UNKNOWN_CLIENT_ACCOUNT)

            client, _ = _make_client(_CoordinatorSequence("a2"), answer)
            started_s = time.monotonic()
            result = await client.acquire("acct", "caller", 10)
            assert result.is_ok() == is_known_later
            if not is_known_later:
                assert result.unwrap_err().kind is ErrorKind.UNKNOWN_CLIENT_ACCOUNT
                assert time.monotonic() - started_s < 1.0

        asyncio.run(run())

    def test_lost_answer_frees_the_quota(self):
        """Quota must be released if the caller disconnects before the answer arrives."""

        async def run():
            async def never(message):
                await asyncio.sleep(60)

            client, released = _make_client(_CoordinatorSequence("a2"), never)
            task = asyncio.create_task(client.acquire("acct", "caller", 10))
            await asyncio.sleep(0.02)
            task.cancel()
            await asyncio.sleep(0.02)
            assert len(released) == 1

        asyncio.run(run())
