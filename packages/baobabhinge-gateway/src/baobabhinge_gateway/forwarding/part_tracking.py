"""Parts of prompts under which backend servers end.

Load pattern: calls of which no two are alike share a part of their prompts, and
each server that begins to answer one of them ends.
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

import structlog
import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.suspects import (
    DatedCrash,
    PartIndex,
    PartReporter,
    PartTable,
)
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.part_fingerprints import (
    fingerprint_attempt,
    fingerprint_parts,
)

# A server that ends under a prompt does so at its first token. A run whose
# answer began longer ago than this has outlasted it.
BEGINNING = timedelta(milliseconds=300)

log = structlog.get_logger(__name__)


class PartTracker:
    """Track parts of prompts that were present when servers ended.

    Parameters
    ----------
    local_region : str
        Region of this gateway; parts of calls that may not be served there are
        not looked up.
    clock : Clock
        Clock of the crashes.

    Attributes
    ----------
    index : PartIndex
        Crashes and answers by part.
    reporter : PartReporter
        Reports to and from other gateways.
    """

    __slots__ = ('_local_region', '_logged', '_table', 'index', 'reporter')

    def __init__(self, local_region: str, clock: Clock) -> None:
        """Start without crashes."""
        self._table = PartTable(clock)
        self.index = PartIndex(self._table)
        self._logged: Sequence[Sequence[str]] = ()
        self._local_region = local_region
        self.reporter = PartReporter(self._table)

    def check(self, call: Call) -> None:
        """Refuse a call with a part under which servers end.

        Raises
        ------
        CrashingCallError
            If it has one; it says for how long such calls are refused.
        """
        self._log_changes()
        parts = self._list_parts(call)
        pause = self.index.compute_pause(parts) if parts else timedelta()
        if pause > timedelta():
            raise CrashingCallError(
                'servers ended while they ran requests with a part of it', pause
            )

    def choose_only_server(
        self, call: Call, list_servers: Callable[[], Sequence[BackendServer]]
    ) -> str | None:
        """Return the server that alone may run a call, ``None`` for any.

        All gateways choose the same one for calls with a suspected part, so
        that other servers of the region don't end under them.

        Parameters
        ----------
        call : Call
            The call.
        list_servers : callable
            Returns all listed servers of the service in one region.
        """
        parts = self._list_parts(call)
        part = self.index.find_confined(parts) if parts else None
        if part is None:
            return None
        return max(
            (server.name for server in list_servers()),
            key=lambda name: xxhash.xxh3_64_intdigest(
                f'{part}/{name}'.encode()
            ),
            default=None,
        )

    def record_answer(self, call: Call) -> bool:
        """Record that a server stood a run of ``call``.

        Returns
        -------
        bool
            Whether other gateways are to be told at once.
        """
        parts = self._list_parts(call)
        if not parts:
            return False
        return self.index.record_answer(parts, fingerprint_attempt(call))

    def record_crash(
        self, crash: DatedCrash, parts: Mapping[str, tuple[str, ...]]
    ) -> None:
        """Count the end of a server against parts of the calls lost with it.

        Parameters
        ----------
        crash : DatedCrash
            The server, and when its connections broke.
        parts : mapping of str to tuple of str
            Fingerprints of the parts, and the regions that may learn them.
        """
        for part, regions in parts.items():
            self.index.record_crash(part, crash, regions)

    def _log_changes(self) -> None:
        refused = self.index.list_refused()
        if refused != self._logged:
            log.warning('prompt-parts-refused', parts=refused)
            self._logged = refused

    def _list_parts(self, call: Call) -> Sequence[str]:
        is_tracked = call.allows(self._local_region)
        if is_tracked and self._table.histories:
            return fingerprint_parts(call)
        return ()


def is_beginning(call: Call, clock: Clock) -> bool:
    """Return whether the answer to ``call`` has not begun, or just now."""
    if call.run_event is None:
        return True
    return clock.read_monotonic() - call.run_event < BEGINNING
