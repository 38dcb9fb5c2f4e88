"""Tests of prompts that crash engines, at the owner of a pool."""

from laburnumrock.errors import ErrorKind
from laburnumrock.placement import PermitGrant, PermitOutcome, PermitRefusal, PermitRelease
from laburnumrock.placement.tests.test_scheduler import make_request, make_scheduler
from laburnumrock.quarantine import QuarantineSettings, name_request

LIMIT = QuarantineSettings().max_crashes


def ask(scheduler, name, now_s, prefix_hashes, request_name=""):
    """Request a permit and return the answer."""
    request = make_request(name, prefix_hashes=prefix_hashes, request_name=request_name)
    (effect,) = scheduler.receive("entry", request, now_s)
    return effect.message


def end(scheduler, permit, now_s, outcome, prefix_hashes):
    release = PermitRelease(permit.permit_id, outcome, None, 0, prefix_hashes, 0.5)
    scheduler.receive("entry", release, now_s)


class TestQuarantine:
    def test_prompt_that_crashes_engines_is_refused(self):
        """Guards against a prompt that crashes one engine after the other, whoever sends it."""
        scheduler = make_scheduler()
        for number in range(LIMIT):
            permit = ask(scheduler, f"r{number}", 10.0 + number, ["common", "dead"])
            assert isinstance(permit, PermitGrant)
            outcome = PermitOutcome.CRASHED
            end(scheduler, permit, 10.5 + number, outcome, ["common", "dead"])
            other = ask(scheduler, f"s{number}", 10.6 + number, ["common", "other"])
            outcome = PermitOutcome.FINISHED
            end(scheduler, other, 10.9 + number, outcome, ["common", "other"])
        refusal = ask(scheduler, "last", 20.0, ["common", "dead"])
        assert isinstance(refusal, PermitRefusal)
        assert refusal.kind is ErrorKind.PROMPT_QUARANTINED
        assert refusal.retry_after_s > 100.0
        assert isinstance(ask(scheduler, "sound", 20.0, ["common", "third"]), PermitGrant)

    def test_request_that_crashes_upstreams_is_refused(self):
        """Guards against a plain call that crashes one upstream after the other."""
        scheduler = make_scheduler()
        name = name_request("5a" * 32)
        for number in range(QuarantineSettings().max_request_crashes):
            permit = ask(scheduler, f"r{number}", 10.0 + number, [], name)
            assert isinstance(permit, PermitGrant)
            end(scheduler, permit, 10.5 + number, PermitOutcome.CRASHED, [name])
        refusal = ask(scheduler, "last", 20.0, [], name)
        assert refusal.kind is ErrorKind.REQUEST_QUARANTINED
        assert refusal.retry_after_s > 100.0
        other = ask(scheduler, "other", 20.0, [], name_request("5b" * 32))
        assert isinstance(other, PermitGrant)

    def test_quarantine_ends(self):
        """Guards against a prompt that is refused for ever."""
        scheduler = make_scheduler()
        scheduler.quarantine.restore([["dead"]], 10.0)
        assert isinstance(ask(scheduler, "r1", 20.0, ["dead"]), PermitRefusal)
        later_s = 10.0 + QuarantineSettings().duration_s
        scheduler.tick(later_s)
        assert isinstance(ask(scheduler, "r2", later_s, ["dead"]), PermitGrant)
