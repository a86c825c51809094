"""Client of the directory in which callers find gateways."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import msgspec

WRITE_TIMEOUT = timedelta(seconds=2)


class DirectoryError(Exception):
    """The directory could not be written."""


class DirectoryClient:
    """Client that writes the directory over HTTP.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Base address of the directory.
    """

    __slots__ = ('_address', '_http')

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        """Store the session; no request is sent."""
        self._http = http
        self._address = address

    async def write(self, region: str, addresses: Sequence[str]) -> None:
        """Replace the entries of ``region``; safe to repeat (idempotent).

        Raises
        ------
        DirectoryError
            If the directory can't be reached, or answers with an error status.
        """
        timeout = aiohttp.ClientTimeout(total=WRITE_TIMEOUT.total_seconds())
        group = {'targets': list(addresses), 'labels': {'region': region}}
        try:
            async with self._http.put(
                f'{self._address}/{region}',
                data=msgspec.json.encode([group]),
                timeout=timeout,
            ) as response:
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise DirectoryError(str(error)) from error
