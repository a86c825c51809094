"""Construction of the exchange of datagrams with other gateways."""

from functools import partial

from baobabhinge_gateway.deployment.servers import (
    find_sole_software,
    has_several_software,
)
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.crash_reports import CrashExchange
from baobabhinge_gateway.forwarding.origin_exchange import OriginExchange
from baobabhinge_gateway.forwarding.stream_origins import OriginTable
from baobabhinge_gateway.forwarding.take_ups import TakeUps
from baobabhinge_gateway.neighbours import (
    DatagramReceiver,
    HeartbeatPlan,
    HeartbeatService,
    PeerHandlers,
    PeerMetrics,
    ReportSender,
)
from baobabhinge_gateway.pace.section import register_section
from baobabhinge_gateway.quotas.assembly import add_quotas


class PeerExchange:
    """Exchange of heartbeats, crash reports and origins of streams.

    Parameters
    ----------
    core : GatewayCore
        State and decisions of the gateway.

    Attributes
    ----------
    heartbeats : HeartbeatService
        Sends and receives the datagrams.
    take_ups : TakeUps
        Finds and records the origins of streams.
    """

    __slots__ = ('heartbeats', 'take_ups')

    def __init__(self, core: GatewayCore) -> None:
        """Connect the parts; nothing is started."""
        table = core.gateways
        metrics = PeerMetrics(
            core.ingress.metrics.registry, core.updater.lag.operators.compute
        )
        crashes = CrashExchange(core.state.crashes, core.ingress.random)
        origins = OriginExchange(
            OriginTable(table.clock),
            table,
            lambda *message: self.heartbeats.send_message(*message),
            partial(find_sole_software, core.state.catalogue),
            partial(has_several_software, core.state.catalogue),
        )
        plan = HeartbeatPlan(table, core.compose_heartbeat, core.ingress.random)
        self.heartbeats = HeartbeatService(
            table,
            plan,
            ReportSender(table, crashes, metrics, table.clock),
            DatagramReceiver(
                table,
                PeerHandlers(
                    core.apply_heartbeat,
                    crashes.merge,
                    origins.receive,
                    core.sections.receive_message,
                ),
                metrics,
                plan.relays,
            ),
            metrics,
        )
        add_quotas(core)
        register_section(core.state.pace, table, core.sections)
        core.sections.transmit = self.heartbeats.send_message
        self.take_ups = TakeUps(origins, core.settings.list_regions())
