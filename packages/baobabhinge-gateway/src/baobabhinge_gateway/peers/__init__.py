"""Heartbeats between gateways, their payloads and fetched documents."""

from baobabhinge_gateway.peers.addresses import PeerAddresses as PeerAddresses
from baobabhinge_gateway.peers.assembly import PeerStack as PeerStack
from baobabhinge_gateway.peers.heartbeat_parts import (
    HeartbeatPart as HeartbeatPart,
)
from baobabhinge_gateway.peers.heartbeat_parts import (
    HeartbeatParts as HeartbeatParts,
)
from baobabhinge_gateway.peers.node import PeerNode as PeerNode
from baobabhinge_gateway.peers.periodic_heartbeats import (
    PeriodicHeartbeatService as PeriodicHeartbeatService,
)
from baobabhinge_gateway.peers.releases import ReleaseFetcher as ReleaseFetcher
