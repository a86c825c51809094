"""Putting together what handles crashing requests."""

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.suspects import SuspectLedger
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.peers.parts import HeartbeatParts
from baobabhinge_gateway.suspects.heartbeat import SuspectPart
from baobabhinge_gateway.suspects.isolation import Isolation
from baobabhinge_gateway.suspects.turns import SuspectTurns
from baobabhinge_gateway.suspects.watch import CrashWatch


def build_isolation(
    fleet: FleetView,
    parts: HeartbeatParts,
) -> Isolation:
    """Return the isolation of one gateway, told to its region."""
    ledger = SuspectLedger(SystemClock())
    parts.add(SuspectPart(ledger))
    return Isolation(
        fleet.home.region,
        ledger,
        CrashWatch(ledger, parts.urgent),
        SuspectTurns(fleet),
    )
