"""Exchange of the speeds of engines between the gateways of the model."""

from collections.abc import Sequence

from prometheus_client import CollectorRegistry

from baobabhinge_gateway.neighbours import (
    GatewayContact,
    GatewayTable,
    SectionRegistry,
    SectionSender,
)
from baobabhinge_gateway.pace.learning import LearningMode
from baobabhinge_gateway.pace.section import PaceSection
from baobabhinge_standins.batching.gateways import REGION, ModelGateway


class SpeedExchange:
    """Gateways that tell each other the speeds of engines.

    Parameters
    ----------
    gateways : sequence of ModelGateway
        Gateways that learn.
    """

    def __init__(self, gateways: Sequence[ModelGateway]) -> None:
        """Begin to learn at all gateways."""
        self._sections = {
            gateway.name: build_section(gateway) for gateway in gateways
        }

    def exchange(self) -> None:
        """Deliver the reports that are due to all other gateways."""
        for name, section in self._sections.items():
            report = section.compose(REGION)
            if report is not None:
                self._deliver(SectionSender(name, REGION, name), report)

    def _deliver(self, sender: SectionSender, report: bytes) -> None:
        for name, section in self._sections.items():
            if name != sender.name:
                section.receive(sender, report)


def build_section(gateway: ModelGateway) -> PaceSection:
    """Return the section of a gateway, which learns from now on."""
    pace = gateway.state.pace
    pace.learning.mode = LearningMode.always
    own = GatewayContact(gateway.name, REGION, '127.0.0.1', 1)
    sender = SectionSender(gateway.name, REGION, gateway.name)
    return PaceSection(
        pace,
        GatewayTable(own, gateway.state.clock),
        SectionRegistry(CollectorRegistry(), sender),
    )
