"""Measurement of one play of the exchange."""

import asyncio
from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_standins.exchange.changes import ChangeScene
from baobabhinge_standins.exchange.fleet import Fleet, open_fleet
from baobabhinge_standins.exchange.gateway import REGIONS, SimulatedGateway
from baobabhinge_standins.exchange.network import Link
from baobabhinge_standins.exchange.scenarios import SCENARIOS
from baobabhinge_standins.exchange.spreads import Spread

REST = timedelta(seconds=1)
FETCHES = 'baobabhinge_state_fetches_total'
MILLISECOND = timedelta(milliseconds=1)
KILOBYTE = 1000


class Play(msgspec.Struct):
    """What one play has shown.

    Parameters
    ----------
    spreads : sequence of Spread
        How the changes have reached the gateways.
    failed_fetches : int
        Requests for state that were not answered in time.
    longest_wait : timedelta
        Longest time for which a packet has waited for a gateway's link.
    sent : sequence of int
        Bytes that each gateway has sent during the changes.
    """

    spreads: Sequence[Spread]
    failed_fetches: int
    longest_wait: timedelta
    sent: Sequence[int]

    @property
    def latest(self) -> Spread:
        """Change that the last gateway learnt latest."""
        return max(self.spreads, key=lambda spread: spread.last)

    def describe(self) -> str:
        """Return the figures on one line, times in milliseconds."""
        half = max(spread.half for spread in self.spreads)
        figures = {
            'last': self.latest.last // MILLISECOND,
            'half': half // MILLISECOND,
            'link wait': self.longest_wait // MILLISECOND,
            'failed fetches': self.failed_fetches,
            'kB': sum(self.sent) // KILOBYTE,
            'kB by one gateway': max(self.sent) // KILOBYTE,
        }
        parts = [f'{name} {figure}' for name, figure in figures.items()]
        return ', '.join((*parts, self.latest.change))


def spread_evenly(gateways: int) -> Mapping[str, int]:
    """Return the gateways of each region."""
    return {
        region: len(range(first, gateways, len(REGIONS)))
        for first, region in enumerate(REGIONS)
    }


async def play(
    scenario: str, counts: Mapping[str, int], megabits: float, seed: int
) -> Play:
    """Play a scenario and return what it has shown.

    Parameters
    ----------
    scenario : str
        Name of the series of changes.
    counts : mapping of str to int
        Gateways of each region.
    megabits : float
        Bandwidth of each gateway's link.
    seed : int
        Seed of names.
    """
    async with open_fleet(counts, megabits) as fleet:
        scene = ChangeScene(fleet, seed)
        await asyncio.sleep(REST.total_seconds())
        links = _list_links(fleet)
        for unused in links:
            unused.reset()
        await SCENARIOS[scenario](scene)
        return Play(
            await scene.finish(),
            sum(map(_count_failed_fetches, fleet.gateways)),
            max(link.longest_wait for link in links),
            [link.sent for link in links],
        )


def _list_links(fleet: Fleet) -> Sequence[Link]:
    return [vm.link for vm in fleet.network.vms.values()]


def _count_failed_fetches(gateway: SimulatedGateway) -> int:
    registry = gateway.core.ingress.metrics.registry
    parts = (
        registry.get_sample_value(FETCHES, {'part': part, 'outcome': 'failed'})
        for part in ('operators', 'servers')
    )
    return sum(int(count or 0) for count in parts)
