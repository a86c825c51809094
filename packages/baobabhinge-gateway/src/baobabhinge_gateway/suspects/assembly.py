"""Assembly of the isolation of suspect requests."""

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.suspects import RunClaims, SuspectLedger
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.peers import PeerNode
from baobabhinge_gateway.suspects.crash_detector import CrashDetector
from baobabhinge_gateway.suspects.heartbeat import SuspectPart
from baobabhinge_gateway.suspects.isolation import Isolation
from baobabhinge_gateway.suspects.notifier import SuspectNotifier
from baobabhinge_gateway.suspects.region_claims import RegionClaims
from baobabhinge_gateway.suspects.routes import SuspectRoutes
from baobabhinge_gateway.suspects.turns import SuspectTurns


def build_isolation(fleet: FleetView, node: PeerNode) -> Isolation:
    """Return the isolation of one gateway, connected to its region.

    Crashes are sent with the heartbeats of ``node``, and after a crash also
    at once, to `SUSPECTS_PATH` of the other gateways.
    """
    clock = SystemClock()
    ledger = SuspectLedger(clock)
    claims = RunClaims(fleet.own.gateway)
    node.parts.add(SuspectPart(ledger))
    node.add_routes(SuspectRoutes(ledger, claims))
    notifier = SuspectNotifier(ledger, node, clock)
    return Isolation(
        fleet.own.region,
        ledger,
        CrashDetector(ledger, node.parts.urgent, clock),
        SuspectTurns(fleet),
        RegionClaims(claims, notifier),
    )
