"""Construction of the exchange of state with other gateways."""

import aiohttp

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.fetching import HttpTransfer, StateTransfer
from baobabhinge_gateway.forwarding.snapshot_fetcher import (
    NotifyRegion,
    SnapshotFetcher,
)
from baobabhinge_gateway.forwarding.snapshot_reader import SnapshotReader
from baobabhinge_gateway.forwarding.snapshot_sender import SnapshotSender
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics


class StateSharing:
    """Exchange of state with other gateways.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    transfer : callable
        Sends requests to other gateways.
    notify_region : callable
        Tells the gateways of the region what this one knows.

    Attributes
    ----------
    fetcher : SnapshotFetcher
        Fetches what other gateways have and this one lacks.
    sender : SnapshotSender
        Answers the requests of other gateways.
    """

    __slots__ = ('fetcher', 'sender')

    def __init__(
        self,
        core: GatewayCore,
        transfer: StateTransfer,
        notify_region: NotifyRegion,
    ) -> None:
        """Connect the parts; nothing is started."""
        metrics = StateMetrics(core.ingress.metrics.registry, core.updater.lag)
        reader = SnapshotReader(transfer, metrics)
        self.fetcher = SnapshotFetcher(reader, core, notify_region)
        self.sender = SnapshotSender(core, metrics)


def build_state_sharing(
    core: GatewayCore,
    http: aiohttp.ClientSession,
    notify_region: NotifyRegion,
) -> StateSharing:
    """Return the exchange of state over HTTP.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    http : aiohttp.ClientSession
        Session for the requests; it is not closed here.
    notify_region : callable
        Tells the gateways of the region what this one knows.
    """
    transfer = HttpTransfer(http, core.ingress.bounds.memory)
    return StateSharing(core, transfer.fetch, notify_region)
