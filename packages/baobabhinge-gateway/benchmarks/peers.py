"""Datagrams of simulated gateways, sent at their rate from one process."""

import socket
import time
from collections.abc import Iterator
from itertools import chain, count
from random import Random

from simulated import REGIONS, SETTINGS, compose_heartbeat

from baobabhinge_gateway.neighbours import Heartbeat, HeartbeatBundle
from baobabhinge_gateway.neighbours.datagrams import encode_message
from baobabhinge_gateway.neighbours.pacing import (
    REMOTE_INTERVAL,
    compute_interval,
)


def send_forever(gateways: int) -> None:
    """Send the heartbeats of all other gateways, each at its time."""
    outlet = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    started = time.monotonic()
    for delay, datagram in iterate_sent(gateways):
        time.sleep(max(0, started + delay - time.monotonic()))
        outlet.sendto(datagram, SETTINGS.own.address)


def iterate_sent(gateways: int) -> Iterator[tuple[float, bytes]]:
    """Iterate for ever over times and datagrams.

    The gateways of the region pass on those of other regions by turns.
    """
    senders = max(1, (gateways - 1) // len(REGIONS))
    interval = compute_interval(senders).total_seconds()
    for sequence in count(1):
        heartbeats = compose_due(gateways, sequence, Random(sequence))
        for sender in range(senders):
            yield (
                interval * (sequence + sender / senders),
                encode_message(HeartbeatBundle(heartbeats[sender::senders])),
            )


def compose_due(
    gateways: int, sequence: int, random: Random
) -> list[Heartbeat]:
    """Return the heartbeats of one interval."""
    interval = compute_interval(gateways // len(REGIONS))
    remote_every = REMOTE_INTERVAL // interval
    due = range(1 + sequence % remote_every, gateways, remote_every)
    peers = chain(range(len(REGIONS), gateways, len(REGIONS)), due)
    return [compose_heartbeat(peer, sequence, random) for peer in peers]
