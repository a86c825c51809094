"""Sending typed messages to a stand-in."""

import aiohttp
import msgspec


class ControlClient:
    """Client of the control interface of one stand-in.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Base URL of the stand-in.
    """

    __slots__ = ('_address', '_http')

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        """Keep the session; no call is made."""
        self._http = http
        self._address = address

    async def send(self, method: str, path: str, message: object) -> bytes:
        """Send ``message`` as JSON and return the body of the answer.

        Raises
        ------
        aiohttp.ClientError
            If the stand-in can't be reached or refuses.
        """
        async with self._http.request(
            method,
            f'{self._address}/{path}',
            data=msgspec.json.encode(message),
            raise_for_status=True,
        ) as answer:
            return await answer.read()
