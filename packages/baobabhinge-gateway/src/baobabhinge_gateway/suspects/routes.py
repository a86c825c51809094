"""HTTP path on which gateways of the region send notices of crashes."""

from aiohttp import web

from baobabhinge_coordination.suspects import RunClaims, SuspectLedger
from baobabhinge_gateway.messages import decode_message, render_message
from baobabhinge_gateway.suspects.messages import (
    SuspectAnswer,
    SuspectNotice,
)

SUSPECTS_PATH = '/peer/v1/suspects'


class SuspectRoutes:
    """Handler of notices about suspects.

    Parameters
    ----------
    ledger : SuspectLedger
        Crash records of this gateway.
    claims : RunClaims
        Runs and claims of this gateway.
    """

    __slots__ = ('_claims', '_ledger')

    def __init__(self, ledger: SuspectLedger, claims: RunClaims) -> None:
        """Store the collaborators."""
        self._ledger = ledger
        self._claims = claims

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_post(SUSPECTS_PATH, self.confirm)

    async def confirm(self, request: web.Request) -> web.Response:
        """Apply a notice and confirm it.

        Raises
        ------
        MalformedCallError
            If it can't be read.
        """
        body = await request.read()
        notice = decode_message(body, SuspectNotice, 'notice')
        return render_message(self.answer(notice))

    def answer(self, notice: SuspectNotice) -> SuspectAnswer:
        """Merge the crashes of a notice and return its answer."""
        self._ledger.merge(notice.crashes)
        return SuspectAnswer(
            self._ledger.export(),
            self._claims.is_busy(notice.wanted, notice.sender),
        )
