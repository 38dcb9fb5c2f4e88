"""Distribution of the declarations to all instances, without I/O.

Notes
-----
The instances of a failure domain form a tree of fan-out six, voters first. Each instance
fetches from its parent once per `FETCH_PERIOD_S`; the root of a domain without a voter fetches from
a voter elsewhere, and voters read from the log leader. A new revision is pushed down the same tree
at once. So an instance serves at most six children and a share of the other domains' roots,
however many instances there are.

Only answers confirm, never pushes: the confirmation time is the time at which the question was
sent minus the age that the answer states. A frame that was delayed in the network therefore cannot
make an old revision look current.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from laburnumrock.declarations._children import ChildTable
from laburnumrock.declarations._effects import HoldsChanged, RequestConfirmedRead, RevisionApplied
from laburnumrock.declarations._messages import DeclarationFetch, DeclarationUpdate, Hold
from laburnumrock.declarations._set import DeclarationSet
from laburnumrock.declarations._store import DeclarationStore
from laburnumrock.declarations._tree import order_domain, order_sources
from laburnumrock.declarations._view import DeclarationView
from laburnumrock.messages import Effect, Send
from laburnumrock.settings import InstanceSettings

# Forty instances form a tree of depth 2, so that a confirmation crosses at most four hops: the read
# of a voter and three fetches. With these periods it is at most 2.2 s old plus the latency, below
# the 3 s after which a view is stale. 0.8 s for all four hops gave false staleness.
FETCH_PERIOD_S = 0.6
READ_PERIOD_S = 0.4
READ_TTL_S = 3 * READ_PERIOD_S
# Fetches from a substitute before the preferred source is tried again.
RETURN_AFTER_FETCHES = 5
# More changes than this are sent as the whole set, which the store keeps below half a frame. One
# declaration takes at most about 50 KB.
MAX_STEP_CHANGES = 32
# An instance that fetched within this time gets pushes.
CHILD_TTL_S = 3 * FETCH_PERIOD_S


@dataclass(frozen=True, slots=True)
class _Question:
    sequence: int
    sent_at_s: float


class DeclarationSync:
    """Decides what to fetch from whom, what to accept and what to push.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    view : DeclarationView
        The copy to keep current.
    random : random.Random
        Source of the phase of the first fetch.
    store : DeclarationStore, optional
        Replicated state, on a voter.
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
        self.domain_peers = order_domain(settings)
        self.sources = order_sources(settings)
        self.source_index = 0
        self.substitute_fetches = 0
        self.children = ChildTable(CHILD_TTL_S)
        self.questions: dict[str, _Question] = {}
        self.next_sequence = 1
        self.next_fetch_s: float | None = None
        self.started_at_s: float | None = None
        self.peer_answered = False
        self.last_read_s: float | None = None

    def is_ready(self, now_s: float) -> bool:
        """Tell whether the instance may take work as far as declarations are concerned.

        Notes
        -----
        A confirmation older than the start would let a restarted instance serve a revision below
        the one that it served before.
        """
        if self.started_at_s is None:
            return False
        confirmed_at_s = self.view.confirmed_at_s
        if confirmed_at_s is not None and confirmed_at_s >= self.started_at_s:
            return True
        waited = now_s - self.started_at_s >= self.settings.timing.start_grace_s
        return waited and (self.peer_answered or self.view.revision > 0)

    def tick(self, now_s: float) -> list[Effect]:
        """Fetch when it is time."""
        if self.started_at_s is None:
            self.started_at_s = now_s
            self.next_fetch_s = now_s
        effects = self.observe_store(now_s)
        if now_s < self.next_fetch_s:
            return effects
        self.children.forget_old(now_s)
        period_s = FETCH_PERIOD_S if self.store is None else READ_PERIOD_S
        self.next_fetch_s = now_s + period_s * self.random.uniform(0.9, 1.0)
        if not self.is_ready(now_s):
            return effects + self._fetch_at_start(now_s)
        if self.store is not None:
            effects.append(RequestConfirmedRead())
        if self._reads_succeed(now_s):
            return effects + self._fetch_as_voter(now_s)
        return effects + self._fetch_from_source(now_s)

    def next_tick_s(self) -> float:
        """Return the clock reading at which a tick is needed next, in seconds.

        A change of the store needs a tick at once.
        """
        return float("-inf") if self.next_fetch_s is None else self.next_fetch_s

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a fetch, an answer or a push."""
        if isinstance(message, DeclarationFetch):
            return self._receive_fetch(sender, message, now_s)
        if isinstance(message, DeclarationUpdate):
            return self._receive_update(sender, message, now_s)
        return []

    def observe_store(self, now_s: float) -> list[Effect]:
        """Take over what the replicated state has applied, on a voter."""
        if self.store is None or self.store.revision <= self.view.revision:
            return []
        steps = self.store.find_steps(self.view.revision)
        if steps is not None:
            self.view.apply_steps(steps)
        self.view.replace(self.store.current, self.store.revision)
        return self._announce_revision(now_s)

    def observe_confirmed_read(self, started_s: float, now_s: float) -> list[Effect]:
        """Confirm the view after a read of the leader that started at `started_s`.

        Notes
        -----
        The store must contain the index that the leader confirmed.
        """
        effects = self.observe_store(now_s)
        self.last_read_s = started_s
        self.view.confirm(started_s)
        return effects

    def push_holds(self) -> list[Effect]:
        """Send the hold book to the instances of the own failure domain and have it stored."""
        update = DeclarationUpdate(self.view.revision, holds=self.view.holds.entries())
        return [HoldsChanged(), *(Send(peer, update) for peer in self._others())]

    def merge_holds(self, holds: Iterable[Hold]) -> list[Effect]:
        """Take holds that arrived in another way, such as on membership probes."""
        return [HoldsChanged()] if self.view.holds.merge(holds) else []

    def _reads_succeed(self, now_s: float) -> bool:
        # An instance whose store is not, or no longer, part of the log fetches like the others.
        return self.last_read_s is not None and now_s - self.last_read_s < READ_TTL_S

    def _others(self) -> list[str]:
        own = self.settings.instance_id
        return [peer for peer in self.domain_peers if peer != own]

    def _fetch_at_start(self, now_s: float) -> list[Effect]:
        # Every instance of the own domain is asked, because without a quorum the highest revision
        # among them counts.
        effects = self._fetch_from_source(now_s)
        if self.store is not None:
            effects.append(RequestConfirmedRead())
        asked = {effect.destination for effect in effects if isinstance(effect, Send)}
        effects += [self._ask(peer, now_s) for peer in self._others() if peer not in asked]
        return effects

    def _fetch_as_voter(self, now_s: float) -> list[Effect]:
        # A voter needs no declarations from others. It asks one neighbour for local holds, which
        # are not in the log, and gets the declarations of the majority side when it is cut off.
        others = self._others()
        return [self._ask(self.random.choice(others), now_s)] if others else []

    def _fetch_from_source(self, now_s: float) -> list[Effect]:
        if not self.sources:
            return []
        asked = self.questions.get(self.sources[self.source_index])
        if asked is not None:
            self._use_next_source()
        elif self.source_index > 0:
            self.substitute_fetches += 1
            if self.substitute_fetches >= RETURN_AFTER_FETCHES:
                self.source_index = 0
                self.substitute_fetches = 0
        return [self._ask(self.sources[self.source_index], now_s)]

    def _use_next_source(self) -> None:
        self.questions.pop(self.sources[self.source_index], None)
        self.source_index = (self.source_index + 1) % len(self.sources)
        self.substitute_fetches = 0

    def _ask(self, peer: str, now_s: float) -> Send:
        sequence = self.next_sequence
        self.next_sequence += 1
        self.questions[peer] = _Question(sequence, now_s)
        holds = self.view.holds.entries() if peer in self.domain_peers else []
        return Send(peer, DeclarationFetch(sequence, self.view.revision, holds))

    def _receive_fetch(self, sender: str, fetch: DeclarationFetch, now_s: float) -> list[Effect]:
        self.children.record(sender, fetch.revision, now_s)
        effects = self.observe_store(now_s)
        inside = sender in self.domain_peers
        if inside:
            effects += self.merge_holds(fetch.holds)
        update = self._build_update(fetch.revision, now_s, fetch.sequence, inside)
        return [*effects, Send(sender, update)]

    def _build_update(
        self, revision: int, now_s: float, sequence: int | None, inside: bool
    ) -> DeclarationUpdate:
        steps = self.view.find_steps(revision)
        if steps is not None and sum(len(step.changes) for step in steps) > MAX_STEP_CHANGES:
            steps = None
        whole = steps is None and revision < self.view.revision
        return DeclarationUpdate(
            self.view.revision,
            sequence,
            self.view.confirmed_age_s(now_s),
            steps or [],
            self.view.current.to_plain() if whole else None,
            self.view.holds.entries() if inside else [],
        )

    def _receive_update(self, sender: str, update: DeclarationUpdate, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        if sender in self.domain_peers:
            effects += self.merge_holds(update.holds)
        if self._accept(update):
            effects += self._announce_revision(now_s)
        question = self.questions.get(sender)
        if question is None or question.sequence != update.sequence:
            return effects
        del self.questions[sender]
        self.peer_answered = True
        self._take_confirmation(sender, question, update)
        return effects

    def _accept(self, update: DeclarationUpdate) -> bool:
        if update.declarations is None:
            return self.view.apply_steps(update.steps)
        if update.revision <= self.view.revision:
            return False
        try:
            declarations = DeclarationSet.from_plain(update.declarations)
        except ValueError:
            return False
        return self.view.replace(declarations, update.revision)

    def _take_confirmation(
        self, sender: str, question: _Question, update: DeclarationUpdate
    ) -> None:
        age_s = update.confirmed_age_s
        # A view below the confirmed revision (a step was missing) is not confirmed by this answer.
        if age_s is not None and self.view.revision >= update.revision:
            self.view.confirm(question.sent_at_s - age_s)
        stale = age_s is None or age_s > self.settings.timing.stale_after_s
        if stale and self.sources and self.sources[self.source_index] == sender:
            self._use_next_source()

    def _announce_revision(self, now_s: float) -> list[Effect]:
        revision = self.view.revision
        effects: list[Effect] = [RevisionApplied(revision)]
        for name, known in self.children.take_behind(revision, now_s).items():
            update = self._build_update(known, now_s, None, name in self.domain_peers)
            effects.append(Send(name, update))
        return effects
