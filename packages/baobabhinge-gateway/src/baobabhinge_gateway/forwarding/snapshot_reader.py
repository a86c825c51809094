"""Reading of what another gateway has to tell."""

import structlog

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.fetching import StateTransfer
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.snapshot_query import SnapshotQuery
from baobabhinge_gateway.forwarding.state_lag import MILLISECOND, PartLag
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics

NOT_ANSWERED = (NotReachedError, ForwardingError)

log = structlog.get_logger(__name__)


class SourceBusyError(ForwardingError):
    """The other gateway sends state to others already."""


class SnapshotReader:
    """Read snapshots of other gateways.

    Parameters
    ----------
    transfer : callable
        Sends the requests.
    metrics : StateMetrics
        Counts the requests.
    """

    __slots__ = ('_metrics', '_transfer')

    def __init__(self, transfer: StateTransfer, metrics: StateMetrics) -> None:
        """Store the collaborators."""
        self._transfer = transfer
        self._metrics = metrics

    async def read(
        self, address: str, query: SnapshotQuery, lag: PartLag
    ) -> bytes:
        """Return the encoded snapshot of another gateway.

        Parameters
        ----------
        address : str
            ``host:port`` of the gateway.
        query : SnapshotQuery
            What this gateway has.
        lag : PartLag
            Lag of the part that is asked for.

        Raises
        ------
        SourceBusyError
            If the other gateway is to be asked later.
        NotReachedError, ForwardingError
            If it gave no answer in time.
        """
        try:
            with self._metrics.track_fetch(lag):
                answer = await self._transfer(address, query.format_target())
                inflated = answer.inflate()
        except NOT_ANSWERED as lost:
            log.info(
                'snapshot-not-fetched',
                source=address,
                part=lag.part,
                reason=repr(lost),
            )
            raise
        log.info(
            'snapshot-fetched',
            source=address,
            part=lag.part,
            bytes=len(answer.body),
            is_busy=answer.retry_after is not None,
            behind_ms=lag.compute() // MILLISECOND,
            failed_fetches=lag.failed_fetches,
        )
        if answer.retry_after is not None:
            raise SourceBusyError('busy', answer.retry_after)
        return inflated
