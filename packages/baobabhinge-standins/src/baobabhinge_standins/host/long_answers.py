"""Long answers of the stand-in of a backend server, sent in pieces."""

from aiohttp import web
from multidict import CIMultiDict

PIECE_BYTES = 1 << 14
# Part of the path that names the length of the answer.
MARK = '/long-'
PLAIN_PIECE = b'x' * PIECE_BYTES
EVENT = b''.join((b'data: ', PLAIN_PIECE, b'\n\n'))


def read_long_length(path: str) -> int:
    """Return the bytes that the answer to ``path`` has, 0 if it names none."""
    length = path.partition(MARK)[2]
    return int(length) if length.isdecimal() else 0


async def send_long(
    request: web.Request, headers: CIMultiDict[str], length: int
) -> web.StreamResponse:
    """Send an answer of ``length`` bytes, or somewhat more for a stream."""
    response = web.StreamResponse(headers=headers)
    is_stream = 'stream' in request.path
    piece = EVENT if is_stream else PLAIN_PIECE
    if is_stream:
        response.content_type = 'text/event-stream'
    else:
        response.content_length = length
    await response.prepare(request)
    for sent in range(0, length, PIECE_BYTES):
        left = length - sent
        await response.write(piece if is_stream else piece[:left])
    return response
