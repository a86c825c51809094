"""How the stand-in of a server answers streams that are taken up."""

from http import HTTPStatus

import msgspec
from aiohttp import web
from multidict import CIMultiDict

EVENT_STREAM = 'text/event-stream'
JSON = 'application/json'


class StreamTakeUp(msgspec.Struct):
    """Answer to a request that names the last event of a stream.

    Parameters
    ----------
    is_for_all : bool
        Whether streams that begin get the same answer.
    status : int
        Status of the answer.
    content_type : str
        Type of its body; only a stream of events goes on.
    body : bytes
        Body of an answer that does not go on.
    breaks : bool
        Whether streams that go on break as those that begin.
    offset : int
        Added to the number of the first event that is sent.
    has_ids : bool
        Whether events have numbers, also those of a stream from its start.
    """

    is_for_all: bool = False
    status: int = HTTPStatus.OK
    content_type: str = EVENT_STREAM
    body: bytes = b'{"error":"no such run"}\n\n'
    breaks: bool = True
    offset: int = 0
    has_ids: bool = True

    def may_break(self, last_event: str | None) -> bool:
        """Return whether a stream after an event breaks as others do."""
        return last_event is None or self.breaks

    def answers_otherwise(self, last_event: str | None) -> bool:
        """Return whether the answer to a request is no stream of events."""
        if last_event is None and not self.is_for_all:
            return False
        is_stream = self.content_type == EVENT_STREAM
        return not is_stream or self.status != HTTPStatus.OK

    def compose_answer(self, headers: CIMultiDict[str]) -> web.Response:
        """Return the answer that does not go on with the stream."""
        has_body = self.status != HTTPStatus.NO_CONTENT
        return web.Response(
            status=self.status,
            headers=CIMultiDict(
                [*headers.items(), ('Content-Type', self.content_type)]
            ),
            body=self.body if has_body else None,
        )

    def choose_first(self, last_event: str | None) -> int:
        """Return the number of the first event to send."""
        if last_event is None:
            return 1
        return max(1, int(last_event) + 1 + self.offset)

    def compose_event(self, number: int) -> bytes:
        """Return one event of a stream."""
        event = compose_event(number)
        if not self.has_ids:
            event = event.partition(b'\n')[2]
        return event


def compose_event(number: int) -> bytes:
    """Return one event of a stream with its number."""
    return f'id: {number}\ndata: piece {number}\n\n'.encode()
