"""Discrete-event model of a model engine with continuous batching.

Between two events the processing rates of an engine are constant: a step processes one prefill
chunk and generates one token for every sequence in the batch. Decodes are bound by memory bandwidth
and prefills by arithmetic, so that the fraction `STEP_OVERLAP` of the shorter phase of a step
overlaps with the longer one. Prefills run first in, first out. KV memory for the prompt and the
output is reserved when a request is admitted.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

PREFILL_TOKENS_PER_S = 60_000.0
DECODE_STEP_S = 0.015
DECODE_GROWTH = 0.005
CHUNK_TOKENS = 1024
STEP_OVERLAP = 0.75
KV_TOKENS = 450_000
MAX_SEQUENCES = 64
COLD_PHASE_S = 10.0
WARM_UP_S = 30.0
COLD_REQUEST_LIMIT = 4
# A cold engine crashes when it gets this many requests beyond its limit within the window.
OVERLOAD_WINDOW_S = 2.0
OVERLOAD_REQUESTS = 3


def decode_step_s(size: int) -> float:
    """Return the duration of a step that only decodes `size` sequences."""
    return DECODE_STEP_S * (1 + DECODE_GROWTH * size) if size else 0.0


def mixed_step_s(size: int) -> float:
    """Return the duration of a step with one prefill chunk and `size` decoded sequences."""
    parts = (decode_step_s(size), CHUNK_TOKENS / PREFILL_TOKENS_PER_S)
    return max(parts) + (1 - STEP_OVERLAP) * min(parts)


@dataclass(slots=True)
class Job:
    """One attempt of a request on one engine, or on several if its prompt spans engines."""

    request_id: str
    attempt: int
    prompt_tokens: int
    output_tokens: int
    engines: list["Engine"]
    parts: list[int]
    part: int = 0
    remaining_prefill_tokens: float = 0.0
    sent_s: float = 0.0
    first_s: float | None = None
    finished_s: float | None = None
    failed: bool = False
    permit: object = None
    call_state: object = None


@dataclass(slots=True)
class Engine:
    """Model engine; `advance` simulates it up to a time, `next_event_s` returns its next event."""

    name: str
    domain: str
    now_s: float = 0.0
    incarnation: int = 1
    up: bool = True
    cold_since_s: float = -1e9
    announced_cold: bool = True
    kv_used: int = 0
    decode_steps_done: float = 0.0
    batch: list = field(default_factory=list)
    prefills: deque = field(default_factory=deque)
    waiting: deque = field(default_factory=deque)
    jobs: dict = field(default_factory=dict)
    overloads: int = 0
    refusals: int = 0
    version: int = 0
    sequence: int = 0
    excess_times_s: deque = field(default_factory=deque)
    prefill_tokens_done: float = 0.0

    def request_limit(self) -> int:
        """Return how many requests the engine accepts at its current warm-up stage."""
        elapsed_s = self.now_s - self.cold_since_s
        if elapsed_s >= WARM_UP_S:
            return 1_000_000
        return int(
            COLD_REQUEST_LIMIT + MAX_SEQUENCES * max(0.0, elapsed_s - COLD_PHASE_S) / WARM_UP_S
        )

    def state(self) -> str:
        """Return the state that the engine announces."""
        elapsed_s = self.now_s - self.cold_since_s
        if elapsed_s >= WARM_UP_S or not self.announced_cold:
            return "ready"
        return "cold" if elapsed_s < COLD_PHASE_S else "warming"

    def compute_rates(self) -> tuple[float, float]:
        """Return prefill tokens per second and decode steps per second."""
        size = len(self.batch)
        if self.prefills:
            step_s = mixed_step_s(size)
            return CHUNK_TOKENS / step_s, 1 / step_s
        return 0.0, 1 / decode_step_s(size) if size else 0.0

    def advance(self, to_s: float) -> list[Job]:
        """Simulate up to a time; returns the jobs whose prefill part or response ended."""
        ended: list[Job] = []
        while True:
            prefill_rate, decode_rate = self.compute_rates()
            event_s = self._compute_next_event_s(prefill_rate, decode_rate)
            end_s = min(event_s, to_s)
            elapsed_s = max(0.0, end_s - self.now_s)
            if self.prefills:
                self.prefills[0].remaining_prefill_tokens -= prefill_rate * elapsed_s
                self.prefill_tokens_done += prefill_rate * elapsed_s
            self.decode_steps_done += decode_rate * elapsed_s
            self.now_s = max(self.now_s, end_s)
            if event_s > to_s:
                return ended
            ended += self._complete_due_work()

    def next_event_s(self) -> float:
        """Return when the next prefill or response ends."""
        return self._compute_next_event_s(*self.compute_rates())

    def submit(self, job: Job, queue: bool) -> str | None:
        """Submit the first part of a job; returns the reason if the engine refuses it.

        Parameters
        ----------
        job : Job
            The job; KV memory for its part on this engine is reserved on admission.
        queue : bool
            Whether the job may wait for memory in the engine's own queue.
        """
        if not self.up:
            return "down"
        needed_tokens = job.parts[job.engines.index(self)]
        if needed_tokens > KV_TOKENS:
            return "no_memory"
        if len(self.jobs) >= self.request_limit():
            return self._refuse_cold()
        fits = self.kv_used + needed_tokens <= KV_TOKENS and len(self.jobs) < MAX_SEQUENCES
        if not fits and not queue:
            return "no_memory"
        self.jobs[(job.request_id, job.attempt)] = job
        if fits and not self.waiting:
            self._admit(job, needed_tokens)
        else:
            self.waiting.append(job)
        return None

    def reserve(self, job: Job) -> str | None:
        """Reserve KV memory for a later part of a job that spans several engines."""
        needed_tokens = job.parts[job.engines.index(self)]
        if not self.up or self.kv_used + needed_tokens > KV_TOKENS:
            return "no_memory"
        self.kv_used += needed_tokens
        self.jobs[(job.request_id, job.attempt)] = job
        return None

    def start_part(self, job: Job) -> None:
        """Start the prefill of a part whose memory is reserved."""
        job.remaining_prefill_tokens = float(job.parts[job.part])
        self.prefills.append(job)

    def release_job(self, job: Job) -> None:
        """Remove a job and free its KV memory, queue position and batch slot."""
        if self.jobs.pop((job.request_id, job.attempt), None) is None:
            return
        if job in self.waiting:
            self.waiting.remove(job)
            return
        self.kv_used -= job.parts[job.engines.index(self)]
        if job in self.prefills:
            self.prefills.remove(job)
        if any(entry[2] is job for entry in self.batch):
            self.batch = [entry for entry in self.batch if entry[2] is not job]
            heapq.heapify(self.batch)
        self._admit_waiting()

    def restart(self, cold: bool = True) -> list[Job]:
        """Drop all jobs and restart with a new incarnation; returns the dropped jobs."""
        lost = list(self.jobs.values())
        self.jobs.clear()
        self.batch.clear()
        self.prefills.clear()
        self.waiting.clear()
        self.kv_used = 0
        self.incarnation += 1
        self.excess_times_s.clear()
        if cold:
            self.cold_since_s = self.now_s
            self.announced_cold = True
        return lost

    def estimate_finish_s(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return when a request admitted now would finish if no other request arrived."""
        size = len(self.batch) + len(self.prefills) + 1
        backlog = sum(job.remaining_prefill_tokens for job in self.prefills) + prompt_tokens
        prefill_s = backlog / CHUNK_TOKENS * mixed_step_s(size - 1)
        return self.now_s + prefill_s + output_tokens * decode_step_s(size)

    def _compute_next_event_s(self, prefill_rate: float, decode_rate: float) -> float:
        event_s = float("inf")
        if self.prefills:
            event_s = (
                self.now_s + max(0.0, self.prefills[0].remaining_prefill_tokens) / prefill_rate
            )
        if self.batch:
            event_s = min(
                event_s, self.now_s + (self.batch[0][0] - self.decode_steps_done) / decode_rate
            )
        return max(event_s, self.now_s)

    def _complete_due_work(self) -> list[Job]:
        ended = []
        if self.prefills and self.prefills[0].remaining_prefill_tokens <= 1e-6:
            job = self.prefills.popleft()
            if job.part == len(job.engines) - 1:
                job.first_s = self.now_s
                self.sequence += 1
                final_step = self.decode_steps_done + job.output_tokens
                heapq.heappush(self.batch, (final_step, self.sequence, job))
            else:
                ended.append(job)
        while self.batch and self.batch[0][0] <= self.decode_steps_done + 1e-6:
            job = heapq.heappop(self.batch)[2]
            job.finished_s = self.now_s
            ended.append(job)
        return ended

    def _admit(self, job: Job, needed_tokens: int) -> None:
        self.kv_used += needed_tokens
        job.remaining_prefill_tokens = float(min(needed_tokens, job.prompt_tokens))
        self.prefills.append(job)

    def _admit_waiting(self) -> None:
        while self.waiting:
            job = self.waiting[0]
            needed_tokens = job.parts[0]
            admitted_jobs = len(self.jobs) - len(self.waiting)
            if self.kv_used + needed_tokens > KV_TOKENS or admitted_jobs >= MAX_SEQUENCES:
                return
            self.waiting.popleft()
            self._admit(job, needed_tokens)

    def _refuse_cold(self) -> str:
        self.refusals += 1
        self.excess_times_s.append(self.now_s)
        while self.excess_times_s[0] < self.now_s - OVERLOAD_WINDOW_S:
            self.excess_times_s.popleft()
        if len(self.excess_times_s) >= OVERLOAD_REQUESTS:
            self.overloads += 1
            return "crash"
        return "cold"
