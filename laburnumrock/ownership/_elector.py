"""Election of the coordinator of a failure domain by a lease granted by a majority."""

import random
from dataclasses import dataclass

from laburnumrock.messages import Effect, Send
from laburnumrock.ownership._clock import holder_duration_s
from laburnumrock.ownership._messages import LeaseGrant, LeaseRefusal, LeaseRelease, LeaseRequest

ROUND_NUMBER_BITS = 48
RENEWALS_PER_LEASE = 4
ROUND_TIMEOUT_FRACTION = 0.05
"""A candidate abandons a round without a majority after this fraction of the lease."""
MAX_ROUND_RETRIES = 2
"""Maximum immediate retries with a higher term, such as after a competing candidate has yielded."""
MIN_BACKOFF_FRACTION = 0.02
"""Minimum wait, as the other instances' grants to the last holder expire at different times."""
MAX_BACKOFF_FRACTION = 0.1
"""Candidates wait for a random fraction of the lease, so that few of them compete."""


@dataclass(frozen=True, slots=True)
class CoordinatorLease:
    """Coordinator lease held by this instance.

    Parameters
    ----------
    term : int
        Increases with every change of the holder.
    since_s, until_s : float
        Start and end of the lease by this instance's clock, in seconds. A lease that is renewed
        before it expires keeps its start.
    """

    term: int
    since_s: float
    until_s: float


@dataclass(slots=True)
class _Grant:
    """Lease grant that this instance has given to a candidate."""

    holder: str = ""
    round_number: int = 0
    until_s: float = float("-inf")


class LeaseElector:
    """Candidate, holder and granter of the coordinator lease.

    Parameters
    ----------
    instance_id : str
        This instance.
    domain_instances : list of str
        Configured instances of the failure domain, this one included.
    lease_s : float, > 0
        Duration of a grant in seconds.
    started_s : float
        Clock reading at the start of the process.
    rng : random.Random
        Random number generator; its sequence must differ between two starts of an instance.
    term_floor : int
        Terms up to this one are not used; should increase with every start of the process.

    Notes
    -----
    Grants are not persisted. A restarted instance therefore neither grants nor requests a lease for
    `lease_s`. The holder measures its lease from the time at which it sent the request, shortened
    by the margin for clock drift, so the lease expires at the holder before any of its grants does.
    """

    def __init__(
        self,
        instance_id: str,
        domain_instances: list[str],
        lease_s: float,
        started_s: float,
        rng: random.Random,
        term_floor: int = 0,
    ) -> None:
        self.instance_id = instance_id
        self.domain_instances = domain_instances
        self.lease_s = lease_s
        self.rng = rng
        self.start_wait_s = lease_s
        self.started_s = started_s
        self.highest_term = term_floor
        self.term = 0
        self.held_since_s = float("-inf")
        self.held_until_s = float("-inf")
        self.grant = _Grant()
        self.round_number = rng.getrandbits(ROUND_NUMBER_BITS)
        self.round_term = 0
        self.round_sent_s: float | None = None
        self.round_grants: set[str] = set()
        self.round_refusals: set[str] = set()
        self.round_retries = 0
        self.retry_due = False
        self.next_request_s = started_s + self.start_wait_s + self._backoff_s()
        self.coordinator_hint = ""
        self.stopping = False

    @property
    def majority(self) -> int:
        """Number of grants required to hold the lease."""
        return len(self.domain_instances) // 2 + 1

    def lease(self, now_s: float) -> CoordinatorLease | None:
        """Return the lease if this instance holds it now, else None."""
        if now_s >= self.held_until_s:
            return None
        return CoordinatorLease(self.term, self.held_since_s, self.held_until_s)

    def find_coordinator(self, now_s: float) -> str | None:
        """Return the presumed coordinator; None if none is known."""
        if self.lease(now_s) is not None:
            return self.instance_id
        if now_s < self.grant.until_s:
            return self.grant.holder
        return self.coordinator_hint or None

    def tick(self, now_s: float) -> list[Effect]:
        """Request or renew the lease when due.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Messages to send.
        """
        if self.stopping or now_s < self.started_s + self.start_wait_s:
            return []
        if now_s < self.next_request_s:
            return []
        if self.lease(now_s) is not None:
            return self._start_round(now_s, is_holder=True)
        if self.round_sent_s is not None and not self.retry_due:
            return self._abandon_round(now_s)
        if self.grant.holder != self.instance_id and now_s < self.grant.until_s:
            self.next_request_s = self.grant.until_s + self._backoff_s()
            return []
        return self._start_round(now_s, is_holder=False)

    def next_tick_s(self) -> float:
        """Return the clock reading at which a tick is needed next, in seconds."""
        if self.stopping:
            return float("inf")
        return max(self.next_request_s, self.started_s + self.start_wait_s)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a lease message.

        Parameters
        ----------
        sender : str
            Instance that sent it.
        message : object
            `LeaseRequest`, `LeaseGrant`, `LeaseRefusal` or `LeaseRelease`; others are ignored.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Messages to send.
        """
        if isinstance(message, LeaseRequest):
            effects = self._yield_to(sender, message, now_s)
            return [*effects, Send(sender, self._answer(sender, message, now_s))]
        if isinstance(message, LeaseGrant):
            return self._handle_grant(sender, message, now_s)
        if isinstance(message, LeaseRefusal):
            return self._handle_refusal(sender, message, now_s)
        if isinstance(message, LeaseRelease):
            self._end_grant(sender, message, now_s)
        return []

    def release(self, now_s: float) -> list[Effect]:
        """Release the lease and stop requesting it.

        The caller must ensure that all assignments made under the lease have expired.
        """
        self.stopping = True
        self.held_until_s = float("-inf")
        return self._abandon_round(now_s)

    def _start_round(self, now_s: float, is_holder: bool) -> list[Effect]:
        self.round_number += 1
        self.round_sent_s = now_s
        self.round_grants = set()
        self.round_refusals = set()
        self.retry_due = False
        if not is_holder or self.highest_term > self.term:
            # A holder that was refused because of a higher term moves to a new term.
            self.highest_term += 1
            self.round_term = self.highest_term
        timeout_fraction = 1 / RENEWALS_PER_LEASE if is_holder else ROUND_TIMEOUT_FRACTION
        self.next_request_s = now_s + timeout_fraction * self.lease_s
        request = LeaseRequest(self.round_number, self.round_term, is_holder)
        effects: list[Effect] = [Send(peer, request) for peer in self._peers()]
        own = self._answer(self.instance_id, request, now_s)
        return effects + self.receive(self.instance_id, own, now_s)

    def _abandon_round(self, now_s: float) -> list[Effect]:
        """End the round and release its grants."""
        if self.round_sent_s is None:
            return []
        release = LeaseRelease(self.round_number)
        self.round_sent_s = None
        self.round_retries = 0
        self.retry_due = False
        self._end_grant(self.instance_id, release, now_s)
        self.next_request_s = now_s + self._backoff_s()
        return [Send(peer, release) for peer in self._peers()]

    def _answer(
        self, sender: str, request: LeaseRequest, now_s: float
    ) -> LeaseGrant | LeaseRefusal:
        if request.is_holder:
            self.coordinator_hint = sender
        other_grant_s = self.grant.until_s - now_s if self.grant.holder != sender else 0.0
        startup_wait_s = self.started_s + self.start_wait_s - now_s
        wait_s = max(other_grant_s, startup_wait_s, 0.0)
        is_stale = request.term < self.highest_term
        # A term is granted to one candidate only, so that no two holders have the same term.
        is_taken = request.term == self.highest_term and self.grant.holder != sender
        if wait_s > 0 or is_stale or (is_taken and sender != self.instance_id):
            return LeaseRefusal(request.round_number, self.highest_term, wait_s)
        self.highest_term = request.term
        self.grant = _Grant(sender, request.round_number, now_s + self.lease_s)
        return LeaseGrant(request.round_number)

    def _handle_grant(self, sender: str, message: LeaseGrant, now_s: float) -> list[Effect]:
        if self.round_sent_s is None or message.round_number != self.round_number:
            return []
        self.round_grants.add(sender)
        if len(self.round_grants) >= self.majority:
            until_s = self.round_sent_s + holder_duration_s(self.lease_s)
            is_new = self.lease(now_s) is None
            self.term = self.round_term
            self.held_until_s = max(self.held_until_s, until_s)
            if is_new:
                self.held_since_s = now_s
                # Sends a renewal at once, which announces the new holder to the other instances.
                self.next_request_s = now_s
        return []

    def _yield_to(self, sender: str, request: LeaseRequest, now_s: float) -> list[Effect]:
        """Abandon the open round in favour of the holder or of a candidate with a lower id."""
        if self.lease(now_s) is not None:
            return []
        if request.is_holder:
            # The holder raises its term when this instance refuses it because of a higher one. If
            # this instance stayed a candidate, it would raise its own term just as fast.
            effects = self._abandon_round(now_s)
            self.next_request_s = max(self.next_request_s, now_s + self.lease_s / 2)
            return effects
        if self.round_sent_s is None or sender >= self.instance_id:
            return []
        effects = self._abandon_round(now_s)
        self.next_request_s = now_s + MAX_BACKOFF_FRACTION * self.lease_s
        return effects

    def _handle_refusal(self, sender: str, message: LeaseRefusal, now_s: float) -> list[Effect]:
        self.highest_term = max(self.highest_term, message.highest_term)
        if self.round_sent_s is None or message.round_number != self.round_number:
            return []
        if (
            message.retry_after_s == 0
            and self.lease(now_s) is None
            and self.round_retries < MAX_ROUND_RETRIES
        ):
            # Only the term was too low, for example after a competing candidate has yielded.
            self.round_retries += 1
            self.retry_due = True
            self.next_request_s = now_s
            return []
        self.round_refusals.add(sender)
        can_win = len(self.domain_instances) - len(self.round_refusals) >= self.majority
        if can_win or self.lease(now_s) is not None:
            return []
        # Releases the grants of the lost round so that other candidates can get them.
        return self._abandon_round(now_s)

    def _end_grant(self, sender: str, message: LeaseRelease, now_s: float) -> None:
        if self.grant.holder == sender and self.grant.round_number <= message.round_number:
            self.grant = _Grant(sender, self.grant.round_number, now_s)
            if self.coordinator_hint == sender:
                self.coordinator_hint = ""
            if self.round_sent_s is None:
                self.next_request_s = now_s + self._backoff_s()

    def _backoff_s(self) -> float:
        return self.rng.uniform(MIN_BACKOFF_FRACTION, MAX_BACKOFF_FRACTION) * self.lease_s

    def _peers(self) -> list[str]:
        return [peer for peer in self.domain_instances if peer != self.instance_id]
