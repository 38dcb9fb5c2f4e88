"""Model engine emulator: runs the batching model in real time."""

import asyncio
import hashlib
import random
import time
from collections import deque
from dataclasses import dataclass, field

from laburnumrock.standins._announcer import Announcer
from laburnumrock.standins._batching import BatchingModel
from laburnumrock.standins._orders import OrderState
from laburnumrock.standins._parameters import (
    EngineEvent,
    EngineParameters,
    EngineRequest,
    PrefillFinished,
    RefusalReason,
)
from laburnumrock.standins._request_meter import RequestMeter
from laburnumrock.standins._segments import SegmentTable
from laburnumrock.upstreams import UpstreamKind, UpstreamState

# Shorter sleeps would cost more CPU time than the finer timing of the emulated steps justifies.
MIN_SLEEP_S = 0.004
SAMPLE_INTERVAL_S = 0.1
HASH_DIGITS = 8


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Identity and behaviour of one emulated engine.

    Parameters
    ----------
    upstream_id, failure_domain, host : str
        Name, failure domain and IP address.
    port : int
        HTTP port.
    models, adapters, versions : tuple of str
        Names that are loaded at the start.
    announce_to : tuple of str
        Entry addresses ``host:port``.
    advertise : str, optional
        Announced address ``host:port``, if it differs from `host` and `port`.
    is_cold : bool
        Whether the engine starts without warm-up progress.
    enforces_fencing : bool
        Whether orders with an outdated fencing number are refused.
    order_key : str, optional
        Bearer token required for orders; ``None`` disables authentication.
    cancels_on_disconnect : bool
        Whether a request is cancelled when its client disconnects.
    report_lag_s : float
        Minimum age of the load metrics in announcements, in seconds.
    order_load_s : float
        Time from an accepted order to its effect, in engine seconds.
    time_factor : float, > 0
        Engine seconds per real second.
    seed : int
        Seed of the random number generator.
    parameters : EngineParameters
        Speed and capacity.
    """

    upstream_id: str
    failure_domain: str
    host: str
    port: int
    models: tuple[str, ...] = ("quote",)
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    announce_to: tuple[str, ...] = ()
    advertise: str | None = None
    is_cold: bool = False
    enforces_fencing: bool = True
    order_key: str | None = None
    cancels_on_disconnect: bool = False
    report_lag_s: float = 0.3
    order_load_s: float = 0.2
    time_factor: float = 1.0
    seed: int = 0
    parameters: EngineParameters = field(default_factory=EngineParameters)

    @property
    def base_url(self) -> str:
        """Base URL of the engine."""
        return f"http://{self.advertise or f'{self.host}:{self.port}'}"


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of the engine at one point in time."""

    taken_s: float
    running: int
    waiting: int
    kv_used_tokens: int


def hash_prompt(prompt: str) -> str:
    """Return the first 8 hexadecimal digits of the SHA-256 of a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:HASH_DIGITS]


def token_text(prompt_hash: str, index: int) -> str:
    """Return the text of output token `index` for a prompt."""
    return f"{prompt_hash}-{index} "


class ModelEngine:
    """Emulated model engine, without its HTTP handlers.

    Parameters
    ----------
    options : EngineOptions
        Identity and behaviour.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.rng = random.Random(f"{options.seed}/{options.upstream_id}")
        self.model = BatchingModel(options.parameters, self.rng, options.is_cold)
        self.orders = OrderState(
            list(options.models),
            list(options.adapters),
            list(options.versions),
            enforces_fencing=options.enforces_fencing,
        )
        self.segments = SegmentTable()
        self.streams: dict[tuple[str, int], asyncio.Queue[EngineEvent]] = {}
        self.incarnation = time.time_ns() // 1_000_000
        self.started_s = time.monotonic()
        self.samples: deque[LoadSample] = deque(maxlen=64)
        self.cold_hidden_until_s = 0.0
        self.streams_to_break = 0
        self.break_after_tokens = 0
        self.meter = RequestMeter()
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.announcer = Announcer(
            list(options.announce_to), self.build_announcement, self.rng.randrange(1_000)
        )

    def now_s(self) -> float:
        """Return the engine time, which advances `time_factor` times as fast as real time."""
        return (time.monotonic() - self.started_s) * self.options.time_factor

    async def start(self) -> None:
        """Start the batch loop, the load sampling and the announcements."""
        self.tasks.add(asyncio.create_task(self._run_batches()))
        self.tasks.add(asyncio.create_task(self._sample_load()))
        self.announcer.start()

    async def stop(self) -> None:
        """Stop at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.announcer.stop()

    async def leave(self) -> None:
        """Announce ``leaving`` and wait until every request and reservation has ended.

        Reservations count because a completion on another engine may still read their segments.
        """
        self.model.is_leaving = True
        await self.announcer.announce()
        while self.model.active_requests or self.model.memory.allocations or self.streams:
            await asyncio.sleep(MIN_SLEEP_S)

    def submit(self, request: EngineRequest) -> RefusalReason | asyncio.Queue[EngineEvent]:
        """Submit a request; return its event queue, or the reason for its refusal."""
        self.meter.record(time.monotonic())
        refusal = self.model.submit(request, self.now_s())
        self._deliver()
        if refusal is not None:
            return refusal
        events: asyncio.Queue[EngineEvent] = asyncio.Queue()
        self.streams[(request.request_id, request.attempt)] = events
        self.wake.set()
        return events

    def cancel(self, request_id: str, reason: str = "cancelled") -> bool:
        """Cancel a request and free its memory; return whether the engine knew it."""
        was_held = self.model.cancel(request_id, self.now_s(), reason)
        self.segments.discard_request(request_id)
        self._deliver()
        self.wake.set()
        return was_held

    def apply_order(self, order: dict[str, object]) -> None:
        """Apply an accepted order after the load time has passed."""
        task = asyncio.create_task(self._load(order))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def turn_cold(self, hide_s: float) -> None:
        """Become cold, and announce the state ``ready`` for another `hide_s` seconds."""
        self.cold_hidden_until_s = time.monotonic() + hide_s
        self.model.cold_start.turn_cold(self.now_s())

    def state(self) -> UpstreamState:
        """Return the state to announce."""
        if self.model.is_leaving:
            return UpstreamState.LEAVING
        if time.monotonic() < self.cold_hidden_until_s:
            return UpstreamState.READY
        return self.model.cold_start.state

    def take_sample(self) -> LoadSample:
        """Return the current load."""
        model = self.model
        used_tokens = model.memory.used_tokens
        return LoadSample(time.monotonic(), len(model.running), len(model.waiting), used_tokens)

    def build_announcement(self) -> dict[str, object]:
        """Return the announcement of this engine, with load metrics of an earlier sample."""
        options = self.options
        now_s = time.monotonic()
        lagged = [one for one in self.samples if one.taken_s <= now_s - options.report_lag_s]
        sample = lagged[-1] if lagged else self.take_sample()
        return {
            "upstream_id": options.upstream_id,
            "kind": UpstreamKind.MODEL_ENGINE,
            "failure_domain": options.failure_domain,
            "incarnation": self.incarnation,
            "base_url": options.base_url,
            "models": self.orders.models,
            "adapters": self.orders.adapters,
            "versions": self.orders.versions,
            "services": [],
            "role": self.orders.role,
            "kv_capacity_tokens": options.parameters.kv_capacity_tokens,
            "prefill_tokens_per_s": options.parameters.prefill_tokens_per_s * options.time_factor,
            "decode_step_s": options.parameters.decode_step_s / options.time_factor,
            "state": self.state(),
            "running": sample.running,
            "waiting": sample.waiting,
            "kv_used_tokens": sample.kv_used_tokens,
            "measured_age_s": round(now_s - sample.taken_s, 3),
            "cache_events": self.model.cache.take_events(self.now_s()),
            "max_requests_per_s": self.meter.max_requests_per_s,
        }

    async def _load(self, order: dict[str, object]) -> None:
        await asyncio.sleep(self.options.order_load_s / self.options.time_factor)
        self.orders.apply(order)

    async def _run_batches(self) -> None:
        while True:
            self._deliver()
            next_s = self.model.next_event_s()
            if next_s is None:
                self.wake.clear()
                await self.wake.wait()
                continue
            delay_s = (next_s - self.now_s()) / self.options.time_factor
            await asyncio.sleep(max(MIN_SLEEP_S, delay_s))

    def _deliver(self) -> None:
        for event in self.model.advance(self.now_s()):
            events = self.streams.get((event.request_id, event.attempt))
            if events is not None:
                events.put_nowait(event)
            elif not isinstance(event, PrefillFinished) and getattr(event, "is_last", False):
                self.segments.discard_request(event.request_id)

    async def _sample_load(self) -> None:
        while True:
            self._deliver()
            self.samples.append(self.take_sample())
            held = self.model.memory.allocations
            for request_id in [name for name in self.segments.local if name not in held]:
                self.segments.discard_request(request_id)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
