"""Count of the bytes of exchanges over HTTP."""

from collections.abc import Iterable, Sized

from aiohttp import web

from baobabhinge_gateway.peers.benchmark.figures import Cost

START_LINE_BYTES = 40
# Colon, space and line end of each header field.
FIELD_BYTES = 4


class TrafficMeter:
    """Count the requests and answers that the servers handle."""

    __slots__ = ('cost',)

    def __init__(self) -> None:
        """Start with counts of zero."""
        self.cost = Cost()

    def reset(self) -> None:
        """Reset the counts to zero."""
        self.cost = Cost()

    async def count(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Add one exchange; all start lines count as `START_LINE_BYTES`."""
        self.cost.exchanges += 1
        self.cost.wire_bytes += (
            count_header_bytes(request.raw_headers)
            + count_header_bytes(response.headers.items())
            + (request.content_length or 0)
            + (response.content_length or 0)
        )


def count_header_bytes(fields: Iterable[tuple[Sized, Sized]]) -> int:
    """Return the bytes of a start line and the header ``fields``."""
    sizes = [sum(map(len, field)) + FIELD_BYTES for field in fields]
    return START_LINE_BYTES + sum(sizes)
