"""Path by which gateways of the region tell of crashes."""

import msgspec
from aiohttp import web

from baobabhinge_coordination.suspects import RunClaims, SuspectLedger
from baobabhinge_gateway.errors import MalformedCallError
from baobabhinge_gateway.suspects.messages import (
    SuspectAnswer,
    SuspectNotice,
)

SUSPECTS_PATH = '/peer/v1/suspects'
JSON = 'application/json'


class SuspectRoutes:
    """Handler of notices about suspects.

    Parameters
    ----------
    ledger : SuspectLedger
        Ledger of this gateway.
    claims : RunClaims
        What this gateway runs.
    """

    __slots__ = ('_claims', '_ledger')

    def __init__(self, ledger: SuspectLedger, claims: RunClaims) -> None:
        """Keep the parts."""
        self._ledger = ledger
        self._claims = claims

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_post(SUSPECTS_PATH, self.confirm)

    async def confirm(self, request: web.Request) -> web.Response:
        """Take in a notice and confirm it.

        Raises
        ------
        MalformedCallError
            If it can't be read.
        """
        body = await request.read()
        try:
            notice = msgspec.json.decode(body, type=SuspectNotice)
        except msgspec.MsgspecError as bad:
            raise MalformedCallError('the notice is malformed') from bad
        answer = msgspec.json.encode(self.answer(notice))
        return web.Response(body=answer, content_type=JSON)

    def answer(self, notice: SuspectNotice) -> SuspectAnswer:
        """Take in a notice and return its answer."""
        self._ledger.merge(notice.crashes)
        return SuspectAnswer(
            self._ledger.export(),
            self._claims.is_busy(notice.wanted, notice.sender),
        )
