"""Counting the bytes of exchanges over HTTP."""

from collections.abc import Iterable, Sized

from aiohttp import web

from baobabhinge_gateway.peers.benchmark.figures import Cost

START_LINE_BYTES = 40
FIELD_BYTES = 4


class TrafficMeter:
    """Count requests and answers at the servers."""

    __slots__ = ('cost',)

    def __init__(self) -> None:
        """Start at zero."""
        self.cost = Cost()

    def reset(self) -> None:
        """Start at zero again."""
        self.cost = Cost()

    async def count(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Add one exchange; start lines are taken as equally long."""
        self.cost.exchanges += 1
        self.cost.wire_bytes += (
            count_header_bytes(request.raw_headers)
            + count_header_bytes(response.headers.items())
            + (request.content_length or 0)
            + (response.content_length or 0)
        )


def count_header_bytes(fields: Iterable[tuple[Sized, Sized]]) -> int:
    """Return the bytes of a start line with these fields."""
    sizes = [sum(map(len, field)) + FIELD_BYTES for field in fields]
    return START_LINE_BYTES + sum(sizes)
