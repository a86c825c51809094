"""Choice of the gateways that keep the origin of a stream.

Rendezvous hashing: any gateway finds them without knowing which one began the
stream, and needs no messages to agree.
"""

from collections.abc import Iterable, Sequence

import xxhash

from baobabhinge_gateway.neighbours import GatewayContact, GatewayTable

# Keepers in the region of the gateway that began the stream, and in another.
LOCAL_KEEPERS = 2
REMOTE_KEEPERS = 1
# Gateways that are asked in each region: one may have started or ended lately.
ASKED_PER_REGION = 2
# The region in which the stream began is not known, but the keeper outside it
# is in one of the first two regions in the order of the hash.
ASKED_REMOTE_REGIONS = 2


def list_keepers(
    key: str, regions: Sequence[str], gateways: GatewayTable
) -> Sequence[GatewayContact]:
    """Return the other gateways that are to keep an origin.

    Parameters
    ----------
    key : str
        Key of the attempt.
    regions : sequence of str
        Regions that may learn of it.
    gateways : GatewayTable
        Live gateways.
    """
    own, remote = _split_regions(key, regions, gateways)
    local = LOCAL_KEEPERS if remote else LOCAL_KEEPERS + REMOTE_KEEPERS
    keepers = [
        keeper
        for region in own
        for keeper in _rank_gateways(key, region, gateways)[:local]
    ]
    for region in remote[: 1 if own else 2]:
        keepers.extend(_rank_gateways(key, region, gateways)[:REMOTE_KEEPERS])
    return keepers


def list_asked(
    key: str, regions: Sequence[str], gateways: GatewayTable
) -> Sequence[GatewayContact]:
    """Return the other gateways that may keep an origin.

    Parameters
    ----------
    key : str
        Key of the attempt.
    regions : sequence of str
        Regions that may learn of it.
    gateways : GatewayTable
        Live gateways.
    """
    own, remote = _split_regions(key, regions, gateways)
    local = ASKED_PER_REGION if remote else LOCAL_KEEPERS + REMOTE_KEEPERS
    asked = [
        keeper
        for region in own
        for keeper in _rank_gateways(key, region, gateways)[:local]
    ]
    for region in remote[:ASKED_REMOTE_REGIONS]:
        asked.extend(_rank_gateways(key, region, gateways)[:ASKED_PER_REGION])
    return asked


def _split_regions(
    key: str, regions: Iterable[str], gateways: GatewayTable
) -> tuple[Sequence[str], Sequence[str]]:
    """Return the own region, if it is among them, and the others in order."""
    ranked = _rank(key, regions)
    own = gateways.own.region
    remote = [region for region in ranked if region != own]
    return ([own] if own in ranked else []), remote


def _rank_gateways(
    key: str, region: str, gateways: GatewayTable
) -> Sequence[GatewayContact]:
    live = [heartbeat.name for heartbeat in gateways.list_live(region)]
    return [gateways.contacts[name] for name in _rank(key, live)]


def _rank(key: str, names: Iterable[str]) -> Sequence[str]:
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
        reverse=True,
    )
