"""Reading of what another gateway has to tell."""

from datetime import timedelta
from functools import partial

import aiohttp
import structlog

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.memory_budget import MemoryBudget
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.snapshot import (
    SNAPSHOT_PATH,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.state_lag import MILLISECOND, PartLag
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics
from baobabhinge_platform.answers import read_bounded

FETCH_TIMEOUT = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class SnapshotReader:
    """Read snapshots of other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the requests; it is not closed here.
    memory : MemoryBudget
        Bound on the bytes of all answers.
    metrics : StateMetrics
        Counts the requests.
    """

    __slots__ = ('_http', '_memory', '_metrics')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        memory: MemoryBudget,
        metrics: StateMetrics,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._memory = memory
        self._metrics = metrics

    async def read(
        self, address: str, wanted: StoreRevisions, lag: PartLag
    ) -> bytes | None:
        """Return the encoded snapshot of another gateway.

        A failure is logged.

        Parameters
        ----------
        address : str
            ``host:port`` of the gateway.
        wanted : StoreRevisions
            Revisions that this gateway has of the wanted part.
        lag : PartLag
            Lag of that part.

        Returns
        -------
        bytes or None
            ``None`` if it was not answered in time.
        """
        try:
            with self._metrics.track_fetch(lag):
                body = await self._fetch(address, wanted)
        except (NotReachedError, ForwardingError) as lost:
            log.info(
                'snapshot-not-fetched',
                source=address,
                part=lag.part,
                reason=repr(lost),
            )
            return None
        log.info(
            'snapshot-fetched',
            source=address,
            part=lag.part,
            bytes=len(body),
            behind_ms=lag.compute() // MILLISECOND,
            failed_fetches=lag.failed_fetches,
        )
        return body

    async def _fetch(self, address: str, wanted: StoreRevisions) -> bytes:
        path = f'{SNAPSHOT_PATH}?{wanted.format_query()}'
        outbound = OutboundRequest('GET', address, path, (), b'', FETCH_TIMEOUT)
        with self._memory.open_use() as memory:
            async with open_exchange(self._http, outbound) as response:
                return await read_bounded(
                    response, partial(memory.add_answer, address)
                )
