"""Cache of the list of gateways, which the gateways publish."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_caller.messages import EntryList
from baobabhinge_coordination.clock import Clock

ENTRIES_TIMEOUT = aiohttp.ClientTimeout(total=2)


class EntryCache:
    """Cached addresses of gateways, the best one first.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    seeds : sequence of str
        ``host:port`` of some gateways, to fetch the first list from.
    clock : Clock
        Clock for the time to live of the list.
    caller : str, optional
        Name of this caller, by which the gateways distribute callers among
        themselves.
    """

    __slots__ = (
        '_caller',
        '_clock',
        '_deprioritized',
        '_expires',
        '_http',
        '_listed',
        '_seeds',
    )

    def __init__(
        self,
        http: aiohttp.ClientSession,
        seeds: Sequence[str],
        clock: Clock,
        caller: str = '',
    ) -> None:
        """Start with the seeds; the list is fetched on first use."""
        self._caller = caller
        self._http = http
        self._clock = clock
        self._seeds = list(seeds)
        self._listed: list[str] = []
        self._deprioritized: set[str] = set()
        self._expires = clock.read_monotonic()

    async def list_addresses(self) -> list[str]:
        """Return the addresses to try; fetch the list if it has expired."""
        if self._clock.read_monotonic() >= self._expires:
            await self._refresh()
        known = dict.fromkeys([*self._listed, *self._seeds])
        return sorted(known, key=self._deprioritized.__contains__)

    def deprioritize(self, address: str) -> None:
        """Move a gateway to the end until the list is fetched again."""
        self._deprioritized.add(address)

    async def _refresh(self) -> None:
        for address in dict.fromkeys([*self._listed, *self._seeds]):
            answer = await self._fetch_entries(address)
            if answer is not None and answer.entries:
                self._store_entries(answer)
                return

    def _store_entries(self, answer: EntryList) -> None:
        lifetime = timedelta(seconds=answer.ttl_seconds)
        self._expires = self._clock.read_monotonic() + lifetime
        self._listed = [entry.address for entry in answer.entries]
        self._deprioritized.clear()

    async def _fetch_entries(self, address: str) -> EntryList | None:
        url = f'http://{address}/v1/entries'
        query = {'caller': self._caller}
        try:
            async with self._http.get(
                url,
                params=query,
                timeout=ENTRIES_TIMEOUT,
            ) as answer:
                return msgspec.json.decode(await answer.read(), type=EntryList)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
