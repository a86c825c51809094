"""Learning from other gateways what the store did not tell this one."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import structlog
from mode import Service

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.exchange import fetch
from baobabhinge_gateway.forwarding.feed import apply_snapshot
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.neighbours import Heartbeat

SNAPSHOT_PATH = '/knowledge'
# The store tells all gateways within some ms; who is still behind after one
# more look does not hear it.
LOOK_PERIOD = timedelta(milliseconds=200)
FETCH_LIMIT = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class CatchUp(Service):
    """Fetch the knowledge of a gateway that has seen more.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns.
    core : GatewayCore
        State of this gateway.
    """

    def __init__(self, http: aiohttp.ClientSession, core: GatewayCore) -> None:
        """Fetch nothing yet."""
        super().__init__()
        self._http = http
        self._core = core

    async def on_start(self) -> None:
        """Begin."""
        self.add_future(self._look_forever())

    async def _look_forever(self) -> None:
        was_behind = False
        while not self.should_stop:
            ahead = list_ahead(self._core)
            if ahead and was_behind:
                source = self._core.reception.random.choice(ahead)
                await self._fetch(source.hop_address)
            was_behind = bool(ahead)
            await self.sleep(LOOK_PERIOD.total_seconds())

    async def _fetch(self, address: str) -> None:
        try:
            body = await fetch(self._http, address, SNAPSHOT_PATH, FETCH_LIMIT)
        except (NotReachedError, ForwardingError) as lost:
            log.info('knowledge-not-fetched', source=address, reason=repr(lost))
            return
        apply_snapshot(self._core.feed, body)


def list_ahead(core: GatewayCore) -> Sequence[Heartbeat]:
    """Return the heartbeats of gateways that have seen more.

    Those of the own region go first: if there are any, others are left out.
    """
    ahead = [
        beat
        for beat in core.gateways.list_live()
        if beat.marks.is_ahead_of(core.feed.marks)
    ]
    region = core.settings.own.region
    return [beat for beat in ahead if beat.region == region] or ahead
