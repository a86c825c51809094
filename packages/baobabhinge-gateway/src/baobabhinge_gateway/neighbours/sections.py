"""Sections: data of single parts in what gateways send to each other.

Parts that share state among gateways add a section to the heartbeats, or send
a message of their own to single gateways. The exchange does not look into
either.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import msgspec
import structlog
from prometheus_client import CollectorRegistry, Counter

from baobabhinge_gateway.errors import GatewayError

# Some sections and the rest of a heartbeat have to fit into one datagram.
MAX_SECTION_BYTES = 4096

Address = tuple[str, int]

log = structlog.get_logger(__name__)


class DuplicateSectionError(GatewayError):
    """Two parts have registered a section of one name."""


class SectionSender(msgspec.Struct, frozen=True):
    """Gateway from which a section came.

    Parameters
    ----------
    name, region : str
        Name and region of its vm.
    incarnation : str
        Random identity of its process.
    """

    name: str
    region: str
    incarnation: str


class SectionMessage(msgspec.Struct, array_like=True, tag='section'):
    """Message of one part to the same part of another gateway.

    Parameters
    ----------
    section : str
        Name of the section to which the part has registered.
    sender : SectionSender
        Gateway that sends the message.
    payload : bytes
        Content, which only the part reads.
    """

    section: str
    sender: SectionSender
    payload: bytes


class ExchangeSection(Protocol):
    """Part that shares state with the same part of other gateways."""

    name: str

    def compose(self, region: str) -> bytes | None:
        """Return the section for the gateways of a region, or ``None``.

        It holds absolute figures: heartbeats are lost, repeated and late.
        """

    def receive(self, sender: SectionSender, payload: bytes) -> None:
        """Apply the section of another gateway."""

    def receive_message(
        self, sender: SectionSender, payload: bytes, source: Address
    ) -> None:
        """Apply a message that another gateway sent to this one alone."""


SectionTransmitter = Callable[[SectionMessage, Sequence[Address]], None]


class SectionRegistry:
    """Sections of the parts of this gateway.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics of the process.
    own : SectionSender
        This gateway.

    Attributes
    ----------
    transmit : callable or None
        Sends a message to gateways; ``None`` until the exchange is built.
    """

    __slots__ = ('_dropped', '_logged', '_own', '_sections', 'transmit')

    def __init__(self, registry: CollectorRegistry, own: SectionSender) -> None:
        """Start without sections."""
        self._own = own
        self._sections: dict[str, ExchangeSection] = {}
        self._logged: set[str] = set()
        self.transmit: SectionTransmitter | None = None
        self._dropped = Counter(
            'baobabhinge_peer_sections_dropped',
            'Sections that were too long to send, or could not be applied',
            ('section',),
            registry=registry,
        )

    def register(self, section: ExchangeSection) -> None:
        """Exchange ``section`` from now on.

        Raises
        ------
        DuplicateSectionError
            If there is one of this name.
        """
        if section.name in self._sections:
            raise DuplicateSectionError(
                f'section {section.name} is registered twice'
            )
        self._sections[section.name] = section

    def compose(self, region: str) -> Mapping[str, bytes]:
        """Return all sections for the gateways of a region, by name."""
        composed: dict[str, bytes] = {}
        for name, section in self._sections.items():
            payload = section.compose(region)
            if payload is None:
                continue
            if len(payload) > MAX_SECTION_BYTES:
                self._drop(name, f'{len(payload)} bytes are too many')
            else:
                composed[name] = payload
        return composed

    def receive(
        self, sender: SectionSender, sections: Mapping[str, bytes]
    ) -> None:
        """Pass the sections of another gateway on to their parts."""
        for name, payload in sections.items():
            section = self._sections.get(name)
            if section is None:
                continue
            try:
                section.receive(sender, payload)
            except Exception as unreadable:
                self._drop(name, repr(unreadable))

    def receive_message(self, message: SectionMessage, source: Address) -> None:
        """Pass a message of another gateway on to its part."""
        section = self._sections.get(message.section)
        if section is None:
            return
        try:
            section.receive_message(message.sender, message.payload, source)
        except Exception as unreadable:
            self._drop(message.section, repr(unreadable))

    def send(
        self, section: str, payload: bytes, addresses: Sequence[Address]
    ) -> None:
        """Send a message of a part to gateways, each by host and port."""
        if self.transmit is not None:
            self.transmit(
                SectionMessage(section, self._own, payload), addresses
            )

    def _drop(self, name: str, reason: str) -> None:
        self._dropped.labels(name).inc()
        if name not in self._logged:
            self._logged.add(name)
            log.warning('section-dropped', section=name, reason=reason)
