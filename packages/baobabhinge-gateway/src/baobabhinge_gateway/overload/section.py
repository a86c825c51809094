"""Section of the heartbeats that tells how busy a gateway is."""

from baobabhinge_gateway.neighbours.sections import Address, SectionSender
from baobabhinge_gateway.overload.free_capacity import FreeCapacities
from baobabhinge_gateway.overload.load import ProcessLoad

HUNDREDTHS = 100


class CapacitySection:
    """Report the free capacity of this gateway, and record that of others.

    Its content is one byte: hundredths of the capacity that are free.

    Parameters
    ----------
    load : ProcessLoad
        Load of this gateway.
    capacities : FreeCapacities
        Reports of the other gateways.
    own_name : str
        Name of this gateway.
    """

    __slots__ = ('_capacities', '_load', '_own_name', 'name')

    def __init__(
        self, load: ProcessLoad, capacities: FreeCapacities, own_name: str
    ) -> None:
        """Store the collaborators."""
        self.name = 'capacity'
        self._load = load
        self._capacities = capacities
        self._own_name = own_name

    def compose(self, region: str) -> bytes:
        """Return the free capacity of this gateway."""
        free = self._load.compute_free()
        self._capacities.record(self._own_name, free)
        return bytes((round(free * HUNDREDTHS),))

    def receive(self, sender: SectionSender, payload: bytes) -> None:
        """Record the free capacity of another gateway."""
        free = min(HUNDREDTHS, payload[0]) / HUNDREDTHS
        self._capacities.record(sender.name, free)

    def receive_message(
        self, sender: SectionSender, payload: bytes, source: Address
    ) -> None:
        """Ignore messages, as none are sent."""
