"""Heartbeats between gateways, which carry their state and loads."""

from baobabhinge_gateway.neighbours.messages import Heartbeat as Heartbeat
from baobabhinge_gateway.neighbours.metrics import PeerMetrics as PeerMetrics
from baobabhinge_gateway.neighbours.service import (
    HeartbeatService as HeartbeatService,
)
from baobabhinge_gateway.neighbours.table import (
    GatewayContact as GatewayContact,
)
from baobabhinge_gateway.neighbours.table import GatewayTable as GatewayTable
