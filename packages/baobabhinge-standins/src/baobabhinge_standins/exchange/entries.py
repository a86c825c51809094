"""Entries of the store: backend servers and configurations."""

from datetime import timedelta
from random import Random

from baobabhinge_gateway.deployment import (
    BackendServer,
    CallKind,
    RequestLimits,
    Revision,
    Route,
    Split,
)
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions
from baobabhinge_gateway.forwarding.state_updater import StateUpdater

SERVICE = 'appraiser-llm'
ID_BYTES = 5
ADDRESS_BYTES = 4
SERVER_PORT = 8723
STARTED = 1_760_000_000_000
LONGEST_RUN_MS = 1_000_000


class EntryBuilder:
    """Build entries with names that can't be guessed.

    Parameters
    ----------
    seed : int
        Seed of the names.
    """

    __slots__ = ('_random', '_version')

    def __init__(self, seed: int) -> None:
        """Start before the first version."""
        self._random = Random(seed)
        self._version = 0

    def build_server(self) -> BackendServer:
        """Return a new server."""
        name = self._random.randbytes(ID_BYTES).hex()
        host = '.'.join(map(str, self._random.randbytes(ADDRESS_BYTES)))
        return BackendServer(
            f'i-{name}',
            SERVICE,
            f'{host}:{SERVER_PORT}',
            'fukuoka-a',
            slots=48,
            started=STARTED + self._random.randrange(LONGEST_RUN_MS),
            software='v1',
        )

    def build_configuration(self, routes: int) -> Revision:
        """Return the next version of the configuration."""
        self._version += 1
        return Revision(
            self._version,
            tuple(self._build_route(number) for number in range(routes)),
            {},
            RequestLimits(),
        )

    def _build_route(self, number: int) -> Route:
        path = self._random.randbytes(ADDRESS_BYTES).hex()
        return Route(
            f'route-{number}',
            'appraisals.example',
            f'/{path}',
            CallKind.repeatable,
            (Split(SERVICE, 1),),
            timedelta(seconds=4),
            timedelta(milliseconds=500),
        )


def put_server(
    server: BackendServer, updater: StateUpdater, revision: int
) -> None:
    """Apply the entry of a server, written at a revision."""
    updater.servers.put(server, revision)
    updater.complete(StoreRevisions(servers=revision))


def remove_server(name: str, updater: StateUpdater, revision: int) -> None:
    """Apply the removal of a server's entry at a revision."""
    updater.servers.remove(name, revision)
    updater.complete(StoreRevisions(servers=revision))


def put_configuration(
    configuration: Revision, updater: StateUpdater, revision: int
) -> None:
    """Apply a configuration, written at a revision."""
    updater.evacuations.record_configuration(revision)
    updater.adopt(configuration)
    updater.complete(StoreRevisions(operators=revision))
