"""Answers to gateways that ask for state."""

from collections.abc import Mapping

import structlog

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.fetching import StateAnswer
from baobabhinge_gateway.forwarding.snapshot import parse_revisions
from baobabhinge_gateway.forwarding.snapshot_transfer import encode_snapshot
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics

log = structlog.get_logger(__name__)


class SnapshotSender:
    """Send this gateway's state to gateways that ask for it.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    metrics : StateMetrics
        Counts what is sent.
    """

    __slots__ = ('_core', '_metrics')

    def __init__(self, core: GatewayCore, metrics: StateMetrics) -> None:
        """Store the collaborators."""
        self._core = core
        self._metrics = metrics

    def answer(self, query: Mapping[str, str], receiver: str) -> StateAnswer:
        """Return the state that is newer than the revisions in a query.

        Parameters
        ----------
        query : mapping of str to str
            Query of the request.
        receiver : str
            Address of the gateway that asks, for the log.
        """
        since = parse_revisions(query)
        body = encode_snapshot(self._core.updater, self._core.state, since)
        part = since.name_part()
        self._metrics.record_sent(part, len(body))
        log.info('snapshot-sent', part=part, receiver=receiver, bytes=len(body))
        return StateAnswer(body)
