"""Noticing that an engine has died, and who was in flight on it."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import structlog

from baobabhinge_coordination.suspects import SuspectLedger
from baobabhinge_gateway.errors import AnswerBrokenError, EngineCrashedError
from baobabhinge_platform.machines import Vm

PROBE_TIMEOUT = timedelta(seconds=1)
PROBE = b'GET /load HTTP/1.1\r\nHost: %b\r\nConnection: close\r\n\r\n'

log = structlog.get_logger(__name__)


class CrashWatch:
    """Calls in flight by engine.

    Parameters
    ----------
    ledger : SuspectLedger
        Where crashes are recorded.
    urgent : asyncio.Event
        Set when the other gateways should hear of a crash at once.
    """

    __slots__ = ('_in_flight', '_ledger', '_urgent')

    def __init__(self, ledger: SuspectLedger, urgent: asyncio.Event) -> None:
        """Start with nothing in flight."""
        self._ledger = ledger
        self._urgent = urgent
        self._in_flight: defaultdict[str, list[str]] = defaultdict(list)

    @contextmanager
    def track(self, vm: Vm, fingerprint: str) -> Iterator[None]:
        """Count one call at ``vm`` while the context is open."""
        running = self._in_flight[vm.name]
        running.append(fingerprint)
        try:
            yield
        finally:
            running.remove(fingerprint)

    @asynccontextmanager
    async def explain(self, vm: Vm) -> AsyncIterator[None]:
        """Look whether ``vm`` has died when an exchange with it breaks.

        The call that failed is still counted, like every other one that
        broke with it.

        Raises
        ------
        EngineCrashedError
            If it has died; its calls are recorded.
        """
        try:
            yield
        except AnswerBrokenError as failure:
            if not await _is_dead(vm):
                raise
            self._record(vm)
            raise EngineCrashedError('the engine died') from failure

    def _record(self, vm: Vm) -> None:
        self._ledger.record(vm.name, self._in_flight[vm.name])
        self._urgent.set()
        log.warning(
            'engine-crashed',
            engine=vm.name,
            suspects=len(self._in_flight[vm.name]),
        )


async def _is_dead(vm: Vm) -> bool:
    """Tell whether a vm that is up has no engine any more.

    Connections are then refused, or end without an answer where something
    in between accepts them. An engine that is silent is not dead.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
            return not await _probe(vm.address)
    except ConnectionError:
        return True
    except (OSError, TimeoutError):
        return False


async def _probe(address: str) -> bytes:
    """Return the first byte of the answer to a request for the load."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(PROBE % address.encode())
    try:
        return await reader.read(1)
    finally:
        writer.close()
