"""Writer of the directory in which clients find gateways."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import msgspec

WRITE_TIMEOUT = timedelta(seconds=2)


class DirectoryError(Exception):
    """The directory could not be written."""


class DirectoryClient:
    """The directory, reached over HTTP.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Address of the directory.
    """

    __slots__ = ('_address', '_http')

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        """Keep the session; no call is made."""
        self._http = http
        self._address = address

    async def write(self, region: str, addresses: Sequence[str]) -> None:
        """Replace the entries of ``region``; the call is idempotent.

        Raises
        ------
        DirectoryError
            If the directory can't be reached.
        """
        limit = aiohttp.ClientTimeout(total=WRITE_TIMEOUT.total_seconds())
        group = {'targets': list(addresses), 'labels': {'region': region}}
        try:
            async with self._http.put(
                f'{self._address}/{region}',
                data=msgspec.json.encode([group]),
                timeout=limit,
            ) as answer:
                answer.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as bad:
            raise DirectoryError(str(bad)) from bad
