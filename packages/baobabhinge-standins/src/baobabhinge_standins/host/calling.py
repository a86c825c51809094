"""Calls as the platform's callers send them."""

from itertools import count

import aiohttp
import msgspec
from yarl import URL

from baobabhinge_standins.host.configuration import HOST

PATIENCE_MS = 3000
_ATTEMPTS = count(1)


class Received(msgspec.Struct):
    """What a caller got.

    Parameters
    ----------
    status : int
        HTTP status; 0 if the connection broke.
    attempt : str
        Identity of the call.
    """

    status: int
    attempt: str
    headers: dict[str, str] = {}
    body: bytes = b''


async def send_call(
    url: str,
    headers: dict[str, str],
    method: str = 'POST',
    body: bytes = b'body',
) -> Received:
    """Send one call on a connection of its own."""
    attempt = f'attempt-{next(_ATTEMPTS)}'
    sent = {
        'Host': HOST,
        'Baobabhinge-Attempt-Id': attempt,
        'Baobabhinge-Deadline-Ms': str(PATIENCE_MS),
        **headers,
    }
    async with aiohttp.ClientSession() as http:
        try:
            return await _exchange(http, url, sent, method, body)
        except aiohttp.ClientError:
            return Received(0, attempt)


async def _exchange(
    http: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    method: str,
    body: bytes,
) -> Received:
    async with http.request(
        method,
        URL(url, encoded=True),
        data=body,
        headers=headers,
    ) as response:
        return Received(
            response.status,
            headers['Baobabhinge-Attempt-Id'],
            dict(response.headers),
            await response.read(),
        )
