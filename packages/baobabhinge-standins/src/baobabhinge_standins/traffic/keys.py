"""Keys of calls that may not be repeated, taken ahead."""

from collections import defaultdict
from http import HTTPStatus

import aiohttp
import msgspec

NO_KEY = ''


class _KeyBatch(msgspec.Struct):
    keys: list[str]


class KeyRing:
    """Keys by region.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    batch : int
        Number of keys to ask for at once.
    """

    __slots__ = ('_batch', '_http', '_keys')

    def __init__(self, http: aiohttp.ClientSession, batch: int) -> None:
        """Hold no key yet."""
        self._http = http
        self._batch = batch
        self._keys: defaultdict[str, list[str]] = defaultdict(list)

    async def take(self, region: str, address: str) -> str:
        """Return a key for a caller of ``region``.

        Parameters
        ----------
        region : str
            Region of the caller.
        address : str
            Gateway to ask if none is left.

        Returns
        -------
        str
            The key, or ``NO_KEY`` if the gateway gave none.
        """
        keys = self._keys[region]
        if not keys:
            keys.extend(await self._ask(address))
        return keys.pop() if keys else NO_KEY

    async def _ask(self, address: str) -> list[str]:
        try:
            return await self._order(address)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return []

    async def _order(self, address: str) -> list[str]:
        async with self._http.post(
            f'http://{address}/v1/keys',
            json={'count': self._batch},
        ) as answer:
            body = await answer.read()
            if answer.status != HTTPStatus.OK:
                return []
            return msgspec.json.decode(body, type=_KeyBatch).keys
