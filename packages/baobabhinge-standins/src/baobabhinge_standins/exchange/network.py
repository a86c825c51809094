"""Network of slow links between the vms of a deployment."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from urllib.parse import parse_qsl, urlsplit

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.exchange import CONNECT_TIMEOUT
from baobabhinge_gateway.forwarding.failures import TimeLimitError
from baobabhinge_gateway.forwarding.fetching import FETCH_TIMEOUT, StateAnswer
from baobabhinge_gateway.neighbours.batches import Address, Receiver

BITS = 8
MEGABIT = 1_000_000
# IP and UDP, or IP and TCP with its usual option.
DATAGRAM_HEADER_BYTES = 28
PACKET_HEADER_BYTES = 52
SEGMENT_BYTES = 1448
# Segments that a connection sends before it waits for acknowledgements. With
# one window at a time, connections share a link evenly.
WINDOW_SEGMENTS = 10
HEAD_BYTES = 250
LOCAL_LATENCY = timedelta(milliseconds=0.5)
REMOTE_LATENCY = timedelta(milliseconds=80)

AnswerState = Callable[[Mapping[str, str], str], StateAnswer]


class Link:
    """Way from one vm to the network, a queue of limited bandwidth.

    Parameters
    ----------
    megabits : float
        Bandwidth, in megabits a second.

    Attributes
    ----------
    sent : int
        Bytes that were sent.
    longest_wait : timedelta
        Longest time for which a packet has waited.
    """

    __slots__ = ('_free_at', '_rate', 'longest_wait', 'sent')

    def __init__(self, megabits: float) -> None:
        """Start with nothing in the queue."""
        self._rate = megabits * MEGABIT / BITS
        self._free_at = float(0)
        self.sent = 0
        self.longest_wait = timedelta()

    def reset(self) -> None:
        """Measure from now on."""
        self.sent = 0
        self.longest_wait = timedelta()

    def send(self, length: int) -> float:
        """Queue a packet; return the seconds until it has been sent."""
        now = asyncio.get_running_loop().time()
        wait = max(0, self._free_at - now)
        self.longest_wait = max(self.longest_wait, timedelta(seconds=wait))
        self.sent += length
        self._free_at = now + wait + length / self._rate
        return self._free_at - now


class Vm:
    """One vm, its link, and the gateway that runs there.

    Parameters
    ----------
    region : str
        Region of the vm.
    link : Link
        Its way to the network.
    """

    __slots__ = ('answer_state', 'link', 'receiver', 'region')

    def __init__(self, region: str, link: Link) -> None:
        """Start without a gateway."""
        self.region = region
        self.link = link
        self.receiver: Receiver | None = None
        self.answer_state: AnswerState | None = None


def read_latency(sender: Vm, receiver: Vm) -> float:
    """Return the seconds of one way between two vms, without their queues."""
    is_local = sender.region == receiver.region
    return (LOCAL_LATENCY if is_local else REMOTE_LATENCY).total_seconds()


class Network:
    """Vms by address, and the ways between them.

    Attributes
    ----------
    vms : dict of str to Vm
        Vms by their address.
    separated : frozenset of str
        Addresses of vms that are cut off from all others.
    """

    __slots__ = ('separated', 'vms')

    def __init__(self) -> None:
        """Start without vms."""
        self.vms: dict[str, Vm] = {}
        self.separated: frozenset[str] = frozenset()

    @asynccontextmanager
    async def open_socket(
        self, receiver: Receiver, address: Address
    ) -> AsyncIterator['SimulatedSocket']:
        """Open the datagram socket of the gateway at an address."""
        vm = self.vms[address[0]]
        vm.receiver = receiver
        try:
            yield SimulatedSocket(self, address)
        finally:
            vm.receiver = None

    async def fetch(self, host: str, address: str, target: str) -> StateAnswer:
        """Send a request for state from ``host`` on a connection of its own.

        Raises
        ------
        NotReachedError
            If the connection was not made in time.
        TimeLimitError
            If the answer was not complete in time.
        """
        other_host = address.rpartition(':')[0]
        own = self.vms[host]
        other = self.vms[other_host]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                await self._pass(own, other, PACKET_HEADER_BYTES)
                while self.is_cut(host, other_host):
                    await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
                await self._pass(other, own, PACKET_HEADER_BYTES)
        except TimeoutError as late:
            raise NotReachedError(address) from late
        try:
            async with asyncio.timeout(FETCH_TIMEOUT.total_seconds()):
                return await self._exchange(own, other, target, host)
        except TimeoutError as late:
            raise TimeLimitError('no complete answer') from late

    def list_hosts(self, region: str) -> Sequence[str]:
        """Return the addresses of the vms of a region."""
        return [host for host, vm in self.vms.items() if vm.region == region]

    def is_cut(self, host: str, other: str) -> bool:
        """Return whether nothing passes between two addresses."""
        return (host in self.separated) != (other in self.separated)

    async def _exchange(
        self, own: Vm, other: Vm, target: str, host: str
    ) -> StateAnswer:
        await self._pass(own, other, HEAD_BYTES + len(target))
        if other.answer_state is None:
            raise TimeoutError
        query = dict(parse_qsl(urlsplit(target).query))
        answer = other.answer_state(query, host)
        left = HEAD_BYTES + len(answer.body)
        while left > 0:
            window = min(left, WINDOW_SEGMENTS * SEGMENT_BYTES)
            packets = -(-window // SEGMENT_BYTES)
            await self._pass(other, own, window + packets * PACKET_HEADER_BYTES)
            left -= window
        return answer

    async def _pass(self, sender: Vm, receiver: Vm, length: int) -> None:
        delay = sender.link.send(length)
        await asyncio.sleep(delay + read_latency(sender, receiver))


class SimulatedSocket:
    """Datagram socket of one vm.

    Parameters
    ----------
    network : Network
        Delivers the datagrams.
    address : tuple of str and int
        Address of the vm.
    """

    __slots__ = ('_address', '_network')

    def __init__(self, network: Network, address: Address) -> None:
        """Store the collaborators."""
        self._network = network
        self._address = address

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram; it is lost if nobody listens."""
        own = self._network.vms[self._address[0]]
        host = address[0]
        other = self._network.vms.get(host)
        delay = own.link.send(len(datagram) + DATAGRAM_HEADER_BYTES)
        if other is None or self._network.is_cut(self._address[0], host):
            return
        asyncio.get_running_loop().call_later(
            delay + read_latency(own, other),
            partial(self._deliver, other, datagram),
        )

    def _deliver(self, other: Vm, datagram: bytes) -> None:
        if other.receiver is not None:
            other.receiver.receive(datagram, self._address)
