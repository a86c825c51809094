"""Interface to what is known of other gateways."""

from collections.abc import Collection, Sequence
from typing import Protocol


class Settling(Protocol):
    """Whether what is known of other gateways can be relied on."""

    def is_settled(self) -> bool:
        """Return whether it can, after a start or a stall."""


class GatewayListing(Protocol):
    """Live gateways by region, as their heartbeats show."""

    @property
    def stalls(self) -> Settling:
        """Times in which this process did not run."""

    def list_names(self, region: str) -> Sequence[str]:
        """Return the names of live gateways of ``region``, own included.

        Those that reach no servers are left out.
        """

    def list_hop_addresses(
        self,
        region: str,
        name: str | None = None,
        *,
        servers: Collection[str] = (),
    ) -> Sequence[str]:
        """Return the ``host:port`` of other ready gateways of ``region``.

        Those that reach no servers are left out. With ``name``, only that of
        the gateway called so; with ``servers``, only of those that reach one.
        """
