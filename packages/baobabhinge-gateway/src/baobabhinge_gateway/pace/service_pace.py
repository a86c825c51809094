"""What is known of the servers of one service when a call is placed."""

from collections.abc import Callable, Sequence

import msgspec

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.server_load import ServerLoad
from baobabhinge_gateway.pace.balancing import balance
from baobabhinge_gateway.pace.factors import LearnedService
from baobabhinge_gateway.pace.paces import StatedPaces
from baobabhinge_gateway.pace.stated import StatedLoads

Estimator = Callable[[BackendServer, ServerLoad], ServerEstimate]


class ServicePace(msgspec.Struct, frozen=True):
    """Speeds and loads of the servers of one service.

    Parameters
    ----------
    learned : LearnedService
        Speeds of the servers, and the work that they got.
    loads : StatedLoads
        Loads that servers state.
    paces : StatedPaces
        Paces that servers state.
    prompt : int
        Mean prompt of the calls, in tokens.
    """

    learned: LearnedService
    loads: StatedLoads
    paces: StatedPaces
    prompt: int = 0

    def correct(self, server: str, load: ServerLoad) -> ServerLoad:
        """Return a load with what the server has stated a moment ago."""
        return self.loads.correct(server, load, self.prompt)

    def adjust(self, estimate: ServerEstimate) -> ServerEstimate:
        """Return an estimate with the speed and the pace of its server."""
        name = estimate.server.name
        return estimate.scale(
            self.learned.find_factor(name) * self.paces.find(name)
        )

    def wrap(self, estimate: Estimator) -> Estimator:
        """Return a function that estimates with what is known here."""

        def estimate_at(
            server: BackendServer, load: ServerLoad
        ) -> ServerEstimate:
            return self.adjust(
                estimate(server, self.correct(server.name, load))
            )

        return estimate_at

    def balance(
        self, estimates: Sequence[ServerEstimate]
    ) -> Sequence[ServerEstimate]:
        """Return the estimates with the imbalance of their servers."""
        return balance(estimates, self.learned)
