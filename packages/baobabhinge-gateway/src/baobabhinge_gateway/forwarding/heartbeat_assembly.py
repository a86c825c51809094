"""Construction of the exchange of datagrams with other gateways."""

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.crash_reports import CrashExchange
from baobabhinge_gateway.neighbours import (
    DatagramReceiver,
    HeartbeatService,
    PeerHandlers,
    PeerMetrics,
    ReportSender,
)


def build_heartbeat_service(core: GatewayCore) -> HeartbeatService:
    """Return the service that exchanges heartbeats and crash reports."""
    table = core.gateways
    metrics = PeerMetrics(
        core.ingress.metrics.registry, core.updater.lag.compute
    )
    crashes = CrashExchange(core.state.crashes, core.ingress.random)
    handlers = PeerHandlers(core.apply_heartbeat, crashes.merge)
    return HeartbeatService(
        table,
        core.compose_heartbeat,
        ReportSender(table, crashes, metrics, table.clock),
        DatagramReceiver(table, handlers, metrics),
        metrics,
    )
