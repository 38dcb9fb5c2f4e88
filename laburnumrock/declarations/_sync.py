"""Distribution of the declarations to all instances, without I/O.

Notes
-----
The instances of a failure domain form a tree of fan-out six with the voters at the top. Each
instance fetches from its parent once per `FETCH_PERIOD_S`; the root of a domain without a voter
fetches from a voter of another domain, and voters read from the log leader. New revisions are
pushed down the same tree immediately. An instance therefore serves at most six children and a share
of the other domains' roots, regardless of the number of instances.

A view is confirmed as current only by responses to a fetch, never by pushes. The confirmation time
is the send time of the request minus the age stated in the response, so a frame that is delayed in
the network cannot make an old revision look current.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from laburnumrock.declarations._children import ChildTable
from laburnumrock.declarations._effects import HoldsChanged, RequestConfirmedRead, RevisionApplied
from laburnumrock.declarations._messages import DeclarationFetch, DeclarationUpdate, Hold
from laburnumrock.declarations._set import DeclarationSet
from laburnumrock.declarations._store import DeclarationStore
from laburnumrock.declarations._tree import list_domain_in_tree_order, list_fetch_sources
from laburnumrock.declarations._view import DeclarationView
from laburnumrock.messages import Effect, Send
from laburnumrock.settings import InstanceSettings

# Forty instances form a tree of depth 2, so a confirmation passes at most four hops: the read by a
# voter and three fetches. With these periods it is at most 2.2 s old plus the network latency,
# below the 3 s after which a view is stale. 0.8 s for all four hops gave false staleness.
FETCH_PERIOD_S = 0.6
READ_PERIOD_S = 0.4
READ_TTL_S = 3 * READ_PERIOD_S
# Fetches from a fallback source before the preferred source is tried again.
MAX_FALLBACK_FETCHES = 5
# More changes than this are sent as the full set, which the store limits to half a frame. One
# declaration takes at most about 50 KB.
MAX_STEP_CHANGES = 32
# Instances that fetched within this time receive pushes.
CHILD_TTL_S = 3 * FETCH_PERIOD_S


@dataclass(frozen=True, slots=True)
class _PendingFetch:
    sequence: int
    sent_at_s: float


class DeclarationSync:
    """Keeps the view of an instance current by fetches, and pushes new revisions to its children.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    view : DeclarationView
        View to keep current.
    random : random.Random
        Random number generator for the jitter of the fetch period and the choice of peers.
    store : DeclarationStore, optional
        Replicated store; only on a voter.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        view: DeclarationView,
        random: random.Random,
        store: DeclarationStore | None = None,
    ) -> None:
        self.settings = settings
        self.view = view
        self.random = random
        self.store = store
        self.domain_peers = list_domain_in_tree_order(settings)
        self.sources = list_fetch_sources(settings)
        self.source_index = 0
        self.fallback_fetches = 0
        self.children = ChildTable(CHILD_TTL_S)
        self.pending_fetches: dict[str, _PendingFetch] = {}
        self.next_sequence = 1
        self.next_fetch_s: float | None = None
        self.started_at_s: float | None = None
        self.peer_answered = False
        self.last_read_s: float | None = None

    def is_ready(self, now_s: float) -> bool:
        """Return whether the declarations are current enough for the instance to accept work.

        Notes
        -----
        With a confirmation from before its start, a restarted instance could serve a lower revision
        than it served before the restart. Such a confirmation does not count.
        """
        if self.started_at_s is None:
            return False
        confirmed_at_s = self.view.confirmed_at_s
        if confirmed_at_s is not None and confirmed_at_s >= self.started_at_s:
            return True
        grace_expired = now_s - self.started_at_s >= self.settings.timing.start_grace_s
        return grace_expired and (self.peer_answered or self.view.revision > 0)

    def tick(self, now_s: float) -> list[Effect]:
        """Apply the changes of the store, and fetch when due."""
        if self.started_at_s is None:
            self.started_at_s = now_s
            self.next_fetch_s = now_s
        effects = self.observe_store(now_s)
        if now_s < self.next_fetch_s:
            return effects
        self.children.drop_expired(now_s)
        period_s = FETCH_PERIOD_S if self.store is None else READ_PERIOD_S
        self.next_fetch_s = now_s + period_s * self.random.uniform(0.9, 1.0)
        if not self.is_ready(now_s):
            return effects + self._fetch_at_start(now_s)
        if self.store is not None:
            effects.append(RequestConfirmedRead())
        if self._has_recent_read(now_s):
            return effects + self._fetch_as_voter(now_s)
        return effects + self._fetch_from_source(now_s)

    def next_tick_s(self) -> float:
        """Return the clock reading at which a tick is needed next, in seconds.

        A change of the store requires an immediate tick.
        """
        return float("-inf") if self.next_fetch_s is None else self.next_fetch_s

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a fetch, a response to a fetch, or a push."""
        if isinstance(message, DeclarationFetch):
            return self._receive_fetch(sender, message, now_s)
        if isinstance(message, DeclarationUpdate):
            return self._receive_update(sender, message, now_s)
        return []

    def observe_store(self, now_s: float) -> list[Effect]:
        """Update the view to the revision of the replicated store; without effect on non-voters."""
        if self.store is None or self.store.revision <= self.view.revision:
            return []
        steps = self.store.find_steps(self.view.revision)
        if steps is not None:
            self.view.apply_steps(steps)
        self.view.replace(self.store.current, self.store.revision)
        return self._push_revision(now_s)

    def observe_confirmed_read(self, started_s: float, now_s: float) -> list[Effect]:
        """Confirm the view after a linearizable read that started at `started_s`.

        Notes
        -----
        The store must have applied the log index that the leader confirmed.
        """
        effects = self.observe_store(now_s)
        self.last_read_s = started_s
        self.view.confirm(started_s)
        return effects

    def push_holds(self) -> list[Effect]:
        """Send the hold registry to the other instances of the failure domain and have it saved."""
        update = DeclarationUpdate(self.view.revision, holds=self.view.holds.entries())
        return [HoldsChanged(), *(Send(peer, update) for peer in self._other_domain_peers())]

    def merge_holds(self, holds: Iterable[Hold]) -> list[Effect]:
        """Merge holds received by other means, such as on membership probes."""
        return [HoldsChanged()] if self.view.holds.merge(holds) else []

    def _has_recent_read(self, now_s: float) -> bool:
        # An instance whose store does not, or no longer, follow the log fetches like a non-voter.
        return self.last_read_s is not None and now_s - self.last_read_s < READ_TTL_S

    def _other_domain_peers(self) -> list[str]:
        own = self.settings.instance_id
        return [peer for peer in self.domain_peers if peer != own]

    def _fetch_at_start(self, now_s: float) -> list[Effect]:
        # Fetches from all instances of the domain, because without a quorum the highest revision
        # among them counts.
        effects = self._fetch_from_source(now_s)
        if self.store is not None:
            effects.append(RequestConfirmedRead())
        destinations = {effect.destination for effect in effects if isinstance(effect, Send)}
        effects += [
            self._fetch_from(peer, now_s)
            for peer in self._other_domain_peers()
            if peer not in destinations
        ]
        return effects

    def _fetch_as_voter(self, now_s: float) -> list[Effect]:
        # A voter gets its declarations from the log. It fetches from a random peer of the domain to
        # receive holds, which are not in the log, and the declarations of the majority side if a
        # partition separates it from the quorum.
        others = self._other_domain_peers()
        return [self._fetch_from(self.random.choice(others), now_s)] if others else []

    def _fetch_from_source(self, now_s: float) -> list[Effect]:
        if not self.sources:
            return []
        unanswered_fetch = self.pending_fetches.get(self.sources[self.source_index])
        if unanswered_fetch is not None:
            self._use_next_source()
        elif self.source_index > 0:
            self.fallback_fetches += 1
            if self.fallback_fetches >= MAX_FALLBACK_FETCHES:
                self.source_index = 0
                self.fallback_fetches = 0
        return [self._fetch_from(self.sources[self.source_index], now_s)]

    def _use_next_source(self) -> None:
        self.pending_fetches.pop(self.sources[self.source_index], None)
        self.source_index = (self.source_index + 1) % len(self.sources)
        self.fallback_fetches = 0

    def _fetch_from(self, peer: str, now_s: float) -> Send:
        sequence = self.next_sequence
        self.next_sequence += 1
        self.pending_fetches[peer] = _PendingFetch(sequence, now_s)
        holds = self.view.holds.entries() if peer in self.domain_peers else []
        return Send(peer, DeclarationFetch(sequence, self.view.revision, holds))

    def _receive_fetch(self, sender: str, fetch: DeclarationFetch, now_s: float) -> list[Effect]:
        self.children.record(sender, fetch.revision, now_s)
        effects = self.observe_store(now_s)
        same_domain = sender in self.domain_peers
        if same_domain:
            effects += self.merge_holds(fetch.holds)
        update = self._build_update(fetch.revision, now_s, fetch.sequence, same_domain)
        return [*effects, Send(sender, update)]

    def _build_update(
        self, revision: int, now_s: float, sequence: int | None, same_domain: bool
    ) -> DeclarationUpdate:
        steps = self.view.find_steps(revision)
        if steps is not None and sum(len(step.changes) for step in steps) > MAX_STEP_CHANGES:
            steps = None
        send_full_set = steps is None and revision < self.view.revision
        return DeclarationUpdate(
            self.view.revision,
            sequence,
            self.view.confirmed_age_s(now_s),
            steps or [],
            self.view.current.to_plain() if send_full_set else None,
            self.view.holds.entries() if same_domain else [],
        )

    def _receive_update(self, sender: str, update: DeclarationUpdate, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        if sender in self.domain_peers:
            effects += self.merge_holds(update.holds)
        if self._apply_update(update):
            effects += self._push_revision(now_s)
        pending_fetch = self.pending_fetches.get(sender)
        if pending_fetch is None or pending_fetch.sequence != update.sequence:
            return effects
        del self.pending_fetches[sender]
        self.peer_answered = True
        self._apply_confirmation(sender, pending_fetch, update)
        return effects

    def _apply_update(self, update: DeclarationUpdate) -> bool:
        if update.declarations is None:
            return self.view.apply_steps(update.steps)
        if update.revision <= self.view.revision:
            return False
        try:
            declarations = DeclarationSet.from_plain(update.declarations)
        except ValueError:
            return False
        return self.view.replace(declarations, update.revision)

    def _apply_confirmation(
        self, sender: str, pending_fetch: _PendingFetch, update: DeclarationUpdate
    ) -> None:
        age_s = update.confirmed_age_s
        # The response does not confirm a view below its revision, which lacks a step.
        if age_s is not None and self.view.revision >= update.revision:
            self.view.confirm(pending_fetch.sent_at_s - age_s)
        stale = age_s is None or age_s > self.settings.timing.stale_after_s
        if stale and self.sources and self.sources[self.source_index] == sender:
            self._use_next_source()

    def _push_revision(self, now_s: float) -> list[Effect]:
        revision = self.view.revision
        effects: list[Effect] = [RevisionApplied(revision)]
        for name, known in self.children.take_lagging(revision, now_s).items():
            update = self._build_update(known, now_s, None, name in self.domain_peers)
            effects.append(Send(name, update))
        return effects
