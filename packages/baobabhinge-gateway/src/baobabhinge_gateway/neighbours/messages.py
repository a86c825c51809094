"""Messages that one gateway sends to others as datagrams."""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_coordination.bounds import (
    Count,
    HostAndPort,
    Milliseconds,
    StoreRevision,
)
from baobabhinge_coordination.suspects import PartReport, SuspectReport
from baobabhinge_gateway.forwarding.prefixes import CachedPrefix
from baobabhinge_gateway.forwarding.server_limits import LimitReport
from baobabhinge_gateway.forwarding.server_load import ServerLoad
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions
from baobabhinge_gateway.forwarding.stream_origins import StreamOrigin
from baobabhinge_gateway.forwarding.warmup import ColdReport
from baobabhinge_gateway.neighbours.sections import SectionMessage


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
        Region of its vm.
    caller_address, hop_address : str
        Addresses for callers, and for calls that other gateways forward.
    is_ready : bool
        Whether callers may use it.
    version : int
        Version of the configuration in force.
    loads : dict of str to ServerLoad
        Load of the calls that it has in flight, by backend server.
    marks : StoreRevisions
        Newest changes in the platform's store that it has applied.
    readings : sequence of CachedPrefix
        Prompts that engines read for it since its last heartbeat.
    hears_store : bool
        Whether the store is reachable from it.
    shut : sequence of str
        Servers of its region that it observed to be unavailable: they get few
        calls or none.
    crashes, parts : sequence of SuspectReport, sequence of PartReport
        Empty; earlier versions send what `CrashReports` carries.
    limits : sequence of LimitReport
        Limits that servers of its region name; told only in that region.
    relays : bool
        Whether the gateway reads bundles and passes heartbeats on.
    is_to_relay : bool
        Whether the receiver is to pass the heartbeat on in its region.
    cold : sequence of ColdReport
        Cold servers of its region, told only there and while the store fails.
    reaches_servers : bool
        Whether it reaches any server of its region, as far as it knows.
    brittle : sequence of LimitReport
        Refusals in a second that servers of brittle services stand, by service;
        told only in its region.
    sections : mapping of str to bytes
        Data of single parts of the gateway, by name.
    """

    name: str
    incarnation: str
    sequence: Count
    region: str
    caller_address: HostAndPort
    hop_address: HostAndPort
    is_ready: bool
    version: StoreRevision
    loads: Mapping[str, ServerLoad]
    marks: StoreRevisions = StoreRevisions()
    readings: Sequence[CachedPrefix] = ()
    hears_store: bool = True
    shut: Sequence[str] = ()
    crashes: Sequence[SuspectReport] = ()
    parts: Sequence[PartReport] = ()
    limits: Sequence[LimitReport] = ()
    relays: bool = False
    is_to_relay: bool = False
    cold: Sequence[ColdReport] = ()
    reaches_servers: bool = True
    brittle: Sequence[LimitReport] = ()
    sections: Mapping[str, bytes] = {}


class HeartbeatBundle(msgspec.Struct, array_like=True, tag='bundle'):
    """Heartbeat of the sender, and those of other regions that it passes on.

    Parameters
    ----------
    heartbeats : sequence of Heartbeat
        The heartbeats; the receiver passes none of them on.
    """

    heartbeats: Sequence[Heartbeat]


class CrashReports(msgspec.Struct, array_like=True, tag='crashes'):
    """Evidence of one gateway on what ends servers.

    Callers cause it, so it is sent apart from heartbeats, within a bound on its
    bytes.

    Parameters
    ----------
    requests : sequence of SuspectReport
        Requests under which servers ended.
    parts : sequence of PartReport
        Parts of prompts that were present when servers ended.
    """

    requests: Sequence[SuspectReport] = ()
    parts: Sequence[PartReport] = ()


class OriginRecord(msgspec.Struct, array_like=True, tag='origin'):
    """Origin of a stream, told to the gateways that are to keep it.

    It is also the answer to an `OriginQuery`.

    Parameters
    ----------
    key : str
        Digest of the attempt that began the stream.
    origin : StreamOrigin or None
        Where it began; ``None`` in an answer if it is not known.
    is_answer : bool
        Whether it answers a query.
    has_several : bool
        Whether servers of several versions may have begun the stream, as far as
        the answering gateway knows.
    """

    key: str
    origin: StreamOrigin | None
    is_answer: bool = False
    has_several: bool = False


class OriginQuery(msgspec.Struct, array_like=True, tag='origin-query'):
    """Question for the origin of a stream.

    Parameters
    ----------
    key : str
        Digest of the attempt that began the stream.
    service : str
        The only service that may have begun it; empty if there are several.
    within_ms : int
        Longest time since it began, in milliseconds.
    """

    key: str
    service: str
    within_ms: Milliseconds


PeerMessage = (
    CrashReports | HeartbeatBundle | OriginRecord | OriginQuery | SectionMessage
)
