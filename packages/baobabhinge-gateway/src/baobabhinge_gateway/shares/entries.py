"""Entries of sums of work: services, priorities, workspaces and routes."""

import enum
from zlib import crc32

# Some hundred names in use are told apart by these.
HASH_BITS = 24
# Lower priorities are not told apart; one of a call goes before one of a route.
LOWEST = 15


class Kind(enum.IntEnum):
    """What an entry sums the work of."""

    service = 0
    level = 1
    workspace = 2
    route = 3


def name_entry(kind: Kind, name: str) -> int:
    """Return the number of the entry of a workspace, route or service."""
    digest = crc32(name.encode(errors='surrogateescape'))
    return (kind << HASH_BITS) | (digest & ((1 << HASH_BITS) - 1))


def name_level(priority: int, route_priority: int) -> int:
    """Return the number of the entry of a priority; the most urgent is least.

    Parameters
    ----------
    priority, route_priority : int
        Priorities of the call and of its route; 0 is the most urgent.
    """
    first = min(priority, LOWEST)
    second = min(route_priority, LOWEST)
    return (Kind.level << HASH_BITS) | (first * (LOWEST + 1) + second)


def is_of_kind(entry: int, kind: Kind) -> bool:
    """Return whether an entry sums work by ``kind``."""
    return entry >> HASH_BITS == kind


# All work of a service.
TOTAL = name_entry(Kind.service, '')
