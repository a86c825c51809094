"""Model of one batching engine, in simulated time.

Each step generates one token for every running call and prefills one chunk of
the most urgent waiting prompt, so prefilling slows all running calls down.
"""

import heapq
from collections.abc import Callable
from datetime import timedelta
from itertools import count

import msgspec

STEP = timedelta(milliseconds=3.79)
STEP_PER_CALL = timedelta(milliseconds=0.0893)
PREFILL_TOKENS_PER_MS = 56.6
CHUNK_TOKENS = 1024
SLOTS = 64
NEVER = timedelta.max
MILLISECOND = timedelta(milliseconds=1)

Listener = Callable[['EngineRun'], None]


def ignore(_: 'EngineRun') -> None:
    """Do nothing."""


class EngineRun(msgspec.Struct, eq=False):
    """One call on an engine.

    Parameters
    ----------
    prompt, output : int
        Tokens to prefill and to generate.
    urgency : int
        0 for the most urgent calls, which are prefilled first.
    first_deadline, deadline : timedelta
        Instants at which the caller leaves without a first token, and without
        a complete answer.
    on_first, on_end : callable
        Called at the first token, and when the call leaves the engine.
    first, end : timedelta
        Instants of the first token and of the end.
    is_complete : bool
        Whether all tokens were generated.
    """

    prompt: int
    output: int
    urgency: int
    first_deadline: timedelta
    deadline: timedelta
    on_first: Listener = ignore
    on_end: Listener = ignore
    first: timedelta = NEVER
    end: timedelta = NEVER
    is_complete: bool = False


class BatchingEngine:
    """One engine.

    Parameters
    ----------
    speed : float
        Factor on the time of each step; 1 for an engine of usual speed.
    """

    def __init__(self, speed: float = 1) -> None:
        """Start idle at instant zero."""
        self.now = timedelta()
        self._speed = speed
        self._steps = 0
        self._order = count()
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._prefilling: list[tuple[int, int, EngineRun]] = []
        # Ordered by the step of the last token, and by the deadline.
        self._running: list[tuple[int, int, EngineRun]] = []
        self._deadlines: list[tuple[timedelta, int, EngineRun]] = []

    def submit(self, run: EngineRun) -> None:
        """Queue a call at the present instant."""
        number = next(self._order)
        heapq.heappush(self._waiting, (run.urgency, number, run))
        heapq.heappush(self._deadlines, (run.first_deadline, number, run))
        heapq.heappush(self._deadlines, (run.deadline, -1 - number, run))

    def advance(self, until: timedelta) -> None:
        """Run steps until the instant ``until``."""
        while self.now < until:
            self._expire()
            free = SLOTS - len(self._prefilling) - len(self._running)
            for _ in range(min(free, len(self._waiting))):
                heapq.heappush(self._prefilling, heapq.heappop(self._waiting))
            if not self._prefilling and not self._running:
                self.now = until
                return
            self._run_step()

    def _run_step(self) -> None:
        begun = self._prefilling[0][2] if self._prefilling else None
        step = STEP + STEP_PER_CALL * len(self._running)
        if begun is not None:
            tokens = min(CHUNK_TOKENS, begun.prompt)
            begun.prompt -= tokens
            step += MILLISECOND * tokens / PREFILL_TOKENS_PER_MS
        self.now += step * self._speed
        self._steps += 1
        self._end_complete()
        if begun is not None and begun.prompt <= 0:
            self._start(begun)

    def _end_complete(self) -> None:
        while self._running and self._running[0][0] <= self._steps:
            _, _, complete = heapq.heappop(self._running)
            complete.is_complete = True
            _end(complete, self.now)

    def _start(self, run: EngineRun) -> None:
        number = heapq.heappop(self._prefilling)[1]
        last_step = self._steps + run.output
        heapq.heappush(self._running, (last_step, number, run))
        run.first = self.now
        run.on_first(run)

    def _expire(self) -> None:
        while self._deadlines and self._deadlines[0][0] <= self.now:
            _, number, run = heapq.heappop(self._deadlines)
            is_late = number < 0 or run.first is NEVER
            if is_late and run.end is NEVER:
                for queue in (self._waiting, self._prefilling, self._running):
                    _remove(queue, run)
                _end(run, self.now)


def _end(run: EngineRun, now: timedelta) -> None:
    run.end = now
    run.on_end(run)


def _remove(queue: list[tuple[int, int, EngineRun]], run: EngineRun) -> None:
    for entry in queue:
        if entry[2] is run:
            queue.remove(entry)
            heapq.heapify(queue)
            return
