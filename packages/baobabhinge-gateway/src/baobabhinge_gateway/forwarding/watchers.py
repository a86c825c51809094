"""Gateways that watch the store, and those that hear of changes from them."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.forwarding.state_lag import PartLag
from baobabhinge_gateway.neighbours import GatewayTable

# One of them may be lost while another one drains. The other gateways of the
# region receive changes from them within some 10 ms.
WATCHERS_PER_REGION = 3
# Three heartbeats of each watcher, or less than two in the largest regions.
# After that, a gateway reads the store.
WATCHER_TIMEOUT = timedelta(seconds=1)
# Fetching the state of another gateway takes some 200 ms.
MAX_LAG = timedelta(seconds=1)


def list_watchers(gateways: GatewayTable) -> Sequence[str]:
    """Return the names of the gateways that watch the store for the region.

    These are the first `WATCHERS_PER_REGION` names of the live gateways of the
    region that reach the store, and of this one.
    """
    own = gateways.own
    candidates = [
        heartbeat.name
        for heartbeat in gateways.list_live(own.region)
        if heartbeat.hears_store
    ]
    return sorted([*candidates, own.name])[:WATCHERS_PER_REGION]


def is_informed(gateways: GatewayTable, lag: PartLag) -> bool:
    """Return whether other gateways tell this one of changes in the store.

    They do not if no watcher of the region was heard of lately, or if this
    gateway lacks state of which it was told a while ago.

    Parameters
    ----------
    gateways : GatewayTable
        Gateways that this one hears of.
    lag : PartLag
        Time since it was told of newer state, of the part in question.
    """
    if lag.compute() > MAX_LAG:
        return False
    watchers = list_watchers(gateways)
    recent = gateways.list_live(gateways.own.region, WATCHER_TIMEOUT)
    return any(heartbeat.name in watchers for heartbeat in recent)
