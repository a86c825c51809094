"""Gateways that tell each other that they live and what they have to do."""

from baobabhinge_gateway.neighbours.messages import Heartbeat as Heartbeat
from baobabhinge_gateway.neighbours.service import (
    HeartbeatService as HeartbeatService,
)
from baobabhinge_gateway.neighbours.table import (
    GatewayContact as GatewayContact,
)
from baobabhinge_gateway.neighbours.table import GatewayTable as GatewayTable
