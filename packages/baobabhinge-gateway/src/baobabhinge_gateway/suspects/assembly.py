"""Putting together what handles crashing requests."""

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.suspects import RunClaims, SuspectLedger
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.peers import PeerNode
from baobabhinge_gateway.suspects.claiming import RegionClaims
from baobabhinge_gateway.suspects.heartbeat import SuspectPart
from baobabhinge_gateway.suspects.isolation import Isolation
from baobabhinge_gateway.suspects.notices import SuspectNotices
from baobabhinge_gateway.suspects.routes import SuspectRoutes
from baobabhinge_gateway.suspects.turns import SuspectTurns
from baobabhinge_gateway.suspects.watch import CrashWatch


def build_isolation(fleet: FleetView, node: PeerNode) -> Isolation:
    """Return the isolation of one gateway, told to its region."""
    clock = SystemClock()
    ledger = SuspectLedger(clock)
    claims = RunClaims(fleet.home.gateway)
    node.parts.add(SuspectPart(ledger))
    node.add_routes(SuspectRoutes(ledger, claims))
    notices = SuspectNotices(ledger, node, clock)
    return Isolation(
        fleet.home.region,
        ledger,
        CrashWatch(ledger, node.parts.urgent, clock),
        SuspectTurns(fleet),
        RegionClaims(claims, notices),
    )
