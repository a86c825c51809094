"""Records of crashes, as stored here and as sent to peers."""

import enum
from datetime import timedelta

import msgspec


class SuspectVerdict(enum.StrEnum):
    """Relation of a request to the recorded crashes."""

    clear = 'clear'
    suspect = 'suspect'
    culprit = 'culprit'


class CrashRecord(msgspec.Struct, frozen=True):
    """Crash of one server with its suspects, as sent to peers.

    Parameters
    ----------
    server : str
        Name of the crashed server.
    age_ms : int
        Time since the crash, in milliseconds.
    suspects : frozenset of str
        Fingerprints of the requests in flight at the crash.
    cleared : frozenset of str
        Those of them that got a complete answer since.
    """

    server: str
    age_ms: int
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()


class Crash(msgspec.Struct, frozen=True):
    """Crash of one server, dated by the local monotonic clock."""

    server: str
    instant: timedelta
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()

    def is_same(self, other: 'Crash', window: timedelta) -> bool:
        """Return whether both records describe one crash."""
        is_near = abs(self.instant - other.instant) <= window
        return self.server == other.server and is_near

    def join(self, other: 'Crash') -> 'Crash':
        """Return one crash that combines both records."""
        return Crash(
            self.server,
            min(self.instant, other.instant),
            self.suspects | other.suspects,
            self.cleared | other.cleared,
        )

    def has_suspect(self, fingerprint: str) -> bool:
        """Return whether a request is a suspect that is not cleared."""
        return fingerprint in self.suspects - self.cleared

    def clear(self, fingerprint: str) -> 'Crash':
        """Return the crash with one of its suspects cleared."""
        if not self.has_suspect(fingerprint):
            return self
        cleared = self.cleared | {fingerprint}
        return msgspec.structs.replace(self, cleared=cleared)
