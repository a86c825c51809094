"""Engines under the placement decisions of several gateways."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.loads import HeldLoad
from baobabhinge_standins.batching.calls import build_call, build_route
from baobabhinge_standins.batching.engine import BatchingEngine, EngineRun
from baobabhinge_standins.batching.gateways import ModelGateway
from baobabhinge_standins.batching.workload import CallMix, DrawnCall

HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
SECOND = timedelta(seconds=1)
# Callers leave a stream that has not started after this many objectives.
FIRST_EVENT_FACTOR = 4


class ServedCall(msgspec.Struct):
    """A call and what became of it.

    Parameters
    ----------
    drawn : DrawnCall
        The call.
    run : EngineRun or None
        Its run; ``None`` if the gateway refused the call.
    """

    drawn: DrawnCall
    run: EngineRun | None = None

    @property
    def is_served(self) -> bool:
        """Whether the answer was complete before the deadline."""
        return self.run is not None and self.run.is_complete

    @property
    def is_in_time(self) -> bool:
        """Whether the answer was complete and began within the objective."""
        if self.run is None or not self.run.is_complete:
            return False
        waited = self.run.first - self.drawn.arrival
        return waited <= self.drawn.mix.objective


class Simulation:
    """One region of engines, and gateways that know each other's loads.

    Parameters
    ----------
    speeds : sequence of float
        Factor on the step time of each engine.
    mixes : sequence of CallMix
        Kinds of calls.
    gateway_count : int
        Number of gateways; calls arrive at a random one.
    random : Random
        Generator of all choices.
    """

    def __init__(
        self,
        speeds: Sequence[float],
        mixes: Sequence[CallMix],
        gateway_count: int,
        random: Random,
    ) -> None:
        """Start with idle engines at instant zero."""
        self._clock = ManualClock()
        self._random = random
        self._engines = {
            f'engine-{number}': BatchingEngine(speed)
            for number, speed in enumerate(speeds)
        }
        self._gateways = [
            ModelGateway(f'gateway-{number}', self._clock, random)
            for number in range(gateway_count)
        ]
        routes = [build_route(mix) for mix in mixes]
        for gateway in self._gateways:
            gateway.adopt(routes, list(self._engines))
        self._next_heartbeat = HEARTBEAT_INTERVAL

    def play(self, calls: Sequence[DrawnCall]) -> Sequence[ServedCall]:
        """Serve ``calls`` and return what became of each."""
        served = []
        for drawn in calls:
            self._advance(drawn.arrival)
            served.append(self._serve(drawn))
        self._advance(
            self._clock.read_monotonic()
            + max(call.mix.time_limit for call in calls)
            + SECOND
        )
        return served

    def _advance(self, until: timedelta) -> None:
        while self._next_heartbeat <= until:
            self._run_engines(self._next_heartbeat)
            self._exchange_loads()
            self._next_heartbeat += HEARTBEAT_INTERVAL
        self._run_engines(until)

    def _run_engines(self, until: timedelta) -> None:
        for engine in self._engines.values():
            engine.advance(until)
        self._clock.advance(until - self._clock.read_monotonic())

    def _exchange_loads(self) -> None:
        for sender in self._gateways:
            loads = dict(sender.state.loads.own)
            for receiver in self._gateways:
                if receiver is not sender:
                    receiver.state.loads.record(sender.name, loads)

    def _serve(self, drawn: DrawnCall) -> ServedCall:
        gateway = self._random.choice(self._gateways)
        try:
            target = gateway.selector.choose(build_call(drawn), ())
        except NotServedError:
            return ServedCall(drawn)
        if target.estimate is None:
            return ServedCall(drawn)
        return ServedCall(drawn, self._submit(drawn, gateway, target.estimate))

    def _submit(
        self,
        drawn: DrawnCall,
        gateway: ModelGateway,
        estimate: ServerEstimate,
    ) -> EngineRun:
        engine = estimate.server.name
        held = HeldLoad(gateway.state.loads, engine, estimate.added)
        run = EngineRun(
            drawn.prompt,
            drawn.output,
            drawn.mix.priority,
            drawn.arrival + FIRST_EVENT_FACTOR * drawn.mix.objective,
            drawn.arrival + drawn.mix.time_limit,
            lambda _: held.record_first_event(),
            lambda _: held.release(),
        )
        self._engines[engine].submit(run)
        return run
