"""Service that measures the delay of the event loop."""

import asyncio

from mode import Service

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.overload.busy_time import BusyClock
from baobabhinge_gateway.overload.delays import TICK, DelayMeter
from baobabhinge_gateway.overload.gate import OverloadGate
from baobabhinge_gateway.overload.load import ProcessLoad
from baobabhinge_gateway.overload.metrics import OverloadMetrics
from baobabhinge_gateway.overload.section import CapacitySection


class OverloadMonitor(Service):
    """Tick of the measured load.

    Parameters
    ----------
    load : ProcessLoad
        Load of the process.

    Attributes
    ----------
    load : ProcessLoad
        Load of the process.
    """

    def __init__(self, load: ProcessLoad) -> None:
        """Prepare the service; nothing is measured."""
        super().__init__()
        self.load = load
        self._timer: asyncio.TimerHandle | None = None

    async def on_start(self) -> None:
        """Start measuring."""
        self._schedule()

    async def on_stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self) -> None:
        # A timer of its own costs less than a task that sleeps.
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK.total_seconds(), self._tick)

    def _tick(self) -> None:
        self._schedule()
        self.load.record_tick()


def build_overload_monitor(
    core: GatewayCore, read_busy: BusyClock
) -> OverloadMonitor:
    """Return the monitor of a gateway whose gate and section are in use.

    Parameters
    ----------
    core : GatewayCore
        State of the gateway.
    read_busy : callable
        Returns the time in which the event loop has worked.
    """
    ingress = core.ingress
    load = ProcessLoad(
        ingress.clock,
        DelayMeter(ingress.clock, read_busy),
        OverloadMetrics(ingress.metrics.registry),
    )
    ingress.bounds.gates.add(OverloadGate(load, ingress.random))
    core.sections.register(
        CapacitySection(load, core.gateways.free, core.settings.own.name)
    )
    return OverloadMonitor(load)
