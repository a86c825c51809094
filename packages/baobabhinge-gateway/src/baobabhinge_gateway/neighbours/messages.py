"""What one gateway tells another."""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_gateway.forwarding.loads import ServerLoad
from baobabhinge_gateway.forwarding.prefixes import CachedPrefix
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions


class Heartbeat(msgspec.Struct, array_like=True):
    """State of one gateway.

    Parameters
    ----------
    name : str
        Name of its vm.
    incarnation : str
        Random identity of its process.
    sequence : int
        Grows by one with each heartbeat.
    region : str
        Where it stands.
    caller_address, hop_address : str
        Where callers, and where other gateways send calls.
    is_ready : bool
        Whether callers may use it.
    version : int
        Configuration in force.
    loads : dict of str to ServerLoad
        Calls that it has in flight, by backend server.
    marks : StoreRevisions
        How much of the platform's store it has seen.
    readings : sequence of CachedPrefix
        Prompts that engines read for it since its last heartbeat.
    hears_store : bool
        Whether the store answers it.
    shut : sequence of str
        Servers of its region that take few calls now or none, as it saw.
    """

    name: str
    incarnation: str
    sequence: int
    region: str
    caller_address: str
    hop_address: str
    is_ready: bool
    version: int
    loads: Mapping[str, ServerLoad]
    marks: StoreRevisions = StoreRevisions()
    readings: Sequence[CachedPrefix] = ()
    hears_store: bool = True
    shut: Sequence[str] = ()
