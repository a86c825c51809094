"""The callers of a demo."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager

from baobabhinge_caller import Client, open_client
from baobabhinge_standins.fleet import Deployment

DESKS_PER_REGION = 6


class Desks:
    """Programs that use the caller library, several in each region.

    Parameters
    ----------
    clients : mapping of str to sequence of Client
        Clients by region.
    """

    __slots__ = ('_clients',)

    def __init__(self, clients: Mapping[str, Sequence[Client]]) -> None:
        """Keep the clients."""
        self._clients = clients

    def choose(self, region: str, number: int) -> Client:
        """Return the client that sends the request with this number."""
        clients = self._clients[region]
        return clients[number % len(clients)]


@asynccontextmanager
async def open_desks(
    deployment: Deployment,
    gateways: Mapping[str, int],
) -> AsyncIterator[Desks]:
    """Yield the desks of every region of ``deployment``.

    Each knows the gateways of its region, and asks them which one to use.

    Parameters
    ----------
    deployment : Deployment
        Deployment to call.
    gateways : mapping of str to int
        Number of gateways by region.
    """
    async with AsyncExitStack() as stack:
        clients = {
            region: [
                await stack.enter_async_context(
                    open_client(seeds, f'{region}-desk-{number}'),
                )
                for number in range(DESKS_PER_REGION)
            ]
            for region, seeds in _list_seeds(deployment, gateways).items()
        }
        yield Desks(clients)


def _list_seeds(
    deployment: Deployment,
    gateways: Mapping[str, int],
) -> dict[str, list[str]]:
    return {
        region: [
            deployment.choose_entry(region, number) for number in range(count)
        ]
        for region, count in gateways.items()
    }
