"""Settings of the measured gateway, and heartbeats of simulated ones."""

from datetime import timedelta
from ipaddress import IPv4Address
from random import Random

from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.server_load import (
    ServerLoad,
    build_prompt_load,
)
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.neighbours import GatewayContact, Heartbeat

REGIONS = ('west', 'east', 'north')
SERVERS = 60
LOADED_SERVERS = 4
PROMPT_TOKENS = 9000
PRIORITIES = 3
FIRST_HOST = IPv4Address('127.1.0.1')
SETTINGS = ForwardingSettings(
    GatewayContact('own', REGIONS[0], '127.0.9.1', 7395),
    '127.0.9.1:80',
    '127.0.9.1:81',
    {f'{region}-a': region for region in REGIONS},
    RetryBudgetLimits(),
    timedelta(seconds=8),
)


def compose_heartbeat(peer: int, sequence: int, random: Random) -> Heartbeat:
    """Return a heartbeat with the loads of a gateway that serves calls."""
    host = str(FIRST_HOST + peer)
    return Heartbeat(
        name=f'peer-{peer}',
        incarnation='0123456789abcdef',
        sequence=sequence,
        region=REGIONS[peer % len(REGIONS)],
        caller_address=f'{host}:80',
        hop_address=f'{host}:81',
        is_ready=True,
        version=1,
        loads=choose_loads(peer, random),
        relays=True,
    )


def choose_loads(peer: int, random: Random) -> dict[str, ServerLoad]:
    """Return loads at random servers of the region of a gateway."""
    servers = range(peer % len(REGIONS), SERVERS, len(REGIONS))
    return {
        f'server-{number}': build_prompt_load(
            random.randrange(PROMPT_TOKENS),
            PROMPT_TOKENS,
            random.randrange(PRIORITIES),
        )
        for number in random.sample(servers, LOADED_SERVERS)
    }
