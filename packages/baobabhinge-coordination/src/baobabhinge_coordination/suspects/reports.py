"""Reports about single requests, as sent to peers."""

import msgspec

from baobabhinge_coordination.bounds import Milliseconds


class CrashAge(msgspec.Struct, array_like=True, frozen=True):
    """Crash of one server under a request.

    Parameters
    ----------
    server : str
        Name of the incarnation of the server that ended.
    age_ms : int
        Time since then, in milliseconds.
    read_age_ms : int or None
        Time since it was read from the store, if it is dated by wall clocks.
    """

    server: str
    age_ms: Milliseconds
    read_age_ms: Milliseconds | None = None


class SuspectReport(msgspec.Struct, array_like=True, frozen=True):
    """What a member knows of one request.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    regions : tuple of str
        Regions that may learn the fingerprint; empty for all.
    crashes : tuple of CrashAge
        Servers that ended while they ran it, since its last answer.
    run_age_ms : int or None
        Time since it was last sent to a server after repeated crashes.
    answer_age_ms : int or None
        Time since it was last answered.
    """

    fingerprint: str
    regions: tuple[str, ...]
    crashes: tuple[CrashAge, ...] = ()
    run_age_ms: Milliseconds | None = None
    answer_age_ms: Milliseconds | None = None

    def may_reach(self, region: str) -> bool:
        """Return whether gateways of ``region`` may learn the fingerprint."""
        return not self.regions or region in self.regions
