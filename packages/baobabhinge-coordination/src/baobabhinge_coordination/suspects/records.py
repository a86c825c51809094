"""Records of crashes, as peers exchange them."""

import enum
from datetime import timedelta

import msgspec


class SuspectVerdict(enum.StrEnum):
    """What is held against a request."""

    clear = 'clear'
    suspect = 'suspect'
    culprit = 'culprit'


class CrashRecord(msgspec.Struct, frozen=True):
    """One server that died, and the requests that were in flight on it.

    Parameters
    ----------
    server : str
        Name of the server.
    age_ms : int
        Time since the crash, in milliseconds.
    suspects : frozenset of str
        Fingerprints of the requests in flight.
    cleared : frozenset of str
        Those of them that were answered whole since.
    """

    server: str
    age_ms: int
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()


class Crash(msgspec.Struct, frozen=True):
    """A crash with the instant of its record on the own clock."""

    server: str
    instant: timedelta
    suspects: frozenset[str]
    cleared: frozenset[str] = frozenset()

    def is_same(self, other: 'Crash', window: timedelta) -> bool:
        """Tell whether both describe one crash."""
        is_near = abs(self.instant - other.instant) <= window
        return self.server == other.server and is_near

    def join(self, other: 'Crash') -> 'Crash':
        """Return one crash with what both know."""
        return Crash(
            self.server,
            min(self.instant, other.instant),
            self.suspects | other.suspects,
            self.cleared | other.cleared,
        )

    def has_suspect(self, fingerprint: str) -> bool:
        """Tell whether this crash is held against a request."""
        return fingerprint in self.suspects - self.cleared

    def clear(self, fingerprint: str) -> 'Crash':
        """Return the crash with one request cleared of it."""
        if not self.has_suspect(fingerprint):
            return self
        cleared = self.cleared | {fingerprint}
        return msgspec.structs.replace(self, cleared=cleared)
