"""Streams that callers take up, and the servers that may go on with them.

Load pattern: servers of several versions serve one service while streams break.
What two versions write does not fit together.
"""

from collections.abc import Sequence
from datetime import timedelta
from hashlib import blake2b

import structlog

from baobabhinge_gateway.forwarding.bodies import DEFAULT_TIME_LIMIT
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.fingerprints import (
    DIGEST_BYTES,
    update_digest,
)
from baobabhinge_gateway.forwarding.origin_exchange import (
    OriginExchange,
    StreamQuestion,
)
from baobabhinge_gateway.forwarding.stream_origins import StreamOrigin

# The caller is to begin anew, for which nothing has to be waited for.
BEGIN_ANEW_AFTER = timedelta(milliseconds=200)
# A stream began within the time limit of its call, and its end is noticed late.
NOTICE_MARGIN = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class UnknownOriginError(NotServedError):
    """No server is known to go on with the stream; the request did not run."""

    code = 'stream-origin-unknown'


class TakeUps:
    """Find where streams began, and record where new ones begin.

    Parameters
    ----------
    exchange : OriginExchange
        Origins that gateways keep.
    regions : sequence of str
        All regions.
    """

    __slots__ = ('_exchange', '_regions')

    def __init__(
        self,
        exchange: OriginExchange,
        regions: Sequence[str],
    ) -> None:
        """Store the collaborators."""
        self._exchange = exchange
        self._regions = regions

    def record_begin(self, call: Call) -> None:
        """Record where the stream of ``call`` begins, before its first event.

        Streams that may not be resumed are left out.
        """
        if call.origin is None and call.run_software is not None:
            call.origin = StreamOrigin(call.service, call.run_software)
        is_kept = call.route.kind.is_resumable and not call.is_from_gateway
        if is_kept and call.origin is not None:
            key = compute_key(call.head.host, call.head.attempt)
            self._exchange.publish(key, call.origin, self._list_regions(call))

    async def resolve(self, call: Call) -> None:
        """Bind a stream that its caller takes up to where it began.

        Raises
        ------
        UnknownOriginError
            If that is not known, or the route no longer leads there.
        """
        is_resumable = call.route.kind.is_resumable
        if call.head.last_event is None or not is_resumable:
            return
        origin = await self._find(call)
        services = {split.service for split in call.route.splits}
        if origin is None or origin.service not in services:
            raise UnknownOriginError(
                'no server is known to go on with this stream',
                BEGIN_ANEW_AFTER,
            )
        call.origin = origin
        call.service = origin.service

    async def _find(self, call: Call) -> StreamOrigin | None:
        services = [split.service for split in call.route.splits]
        # Without a name of the attempt, only a sole version tells the origin.
        began = call.head.resumes or call.head.attempt
        origin = await self._exchange.find(
            StreamQuestion(
                compute_key(call.head.host, began),
                services[0] if len(services) == 1 else '',
                (call.route.time_limit or DEFAULT_TIME_LIMIT) + NOTICE_MARGIN,
                tuple(self._list_regions(call)),
            )
        )
        log.info(
            'stream-taken-up',
            attempt=call.head.attempt,
            resumes=call.head.resumes,
            service=origin.service if origin else None,
            software=origin.software if origin else None,
        )
        return origin

    def _list_regions(self, call: Call) -> Sequence[str]:
        return [one for one in self._regions if call.allows(one)]


def compute_key(host: str, attempt: str) -> str:
    """Return the key of an attempt, of the same length for any name."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    update_digest(digest, host.lower())
    update_digest(digest, attempt)
    return digest.hexdigest()
