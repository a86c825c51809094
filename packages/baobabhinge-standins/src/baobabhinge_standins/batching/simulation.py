"""Engines under the placement decisions of several gateways."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_standins.batching.calls import build_call, build_route
from baobabhinge_standins.batching.engine import BatchingEngine, EngineRun
from baobabhinge_standins.batching.gateways import ModelGateway
from baobabhinge_standins.batching.runs import build_run
from baobabhinge_standins.batching.speed_exchange import SpeedExchange
from baobabhinge_standins.batching.workload import CallMix, DrawnCall

HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
SECOND = timedelta(seconds=1)


class ServedCall(msgspec.Struct):
    """A call and what became of it.

    Parameters
    ----------
    drawn : DrawnCall
        The call.
    run : EngineRun or None
        Its run; ``None`` if the gateway refused the call.
    engine : str
        Engine of the run.
    """

    drawn: DrawnCall
    run: EngineRun | None = None
    engine: str = ''

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
    learns : bool, optional
        Whether the gateways learn the speeds of the engines.
    """

    def __init__(
        self,
        speeds: Sequence[float],
        mixes: Sequence[CallMix],
        gateway_count: int,
        random: Random,
        *,
        learns: bool = False,
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
        self._speeds = SpeedExchange(self._gateways if learns else ())
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
            self._speeds.exchange()
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
        run = build_run(drawn, gateway, target.estimate)
        self._engines[target.name].submit(run)
        return ServedCall(drawn, run, target.name)
