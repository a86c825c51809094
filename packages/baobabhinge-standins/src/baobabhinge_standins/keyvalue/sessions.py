"""Sessions with a time to live."""

import uuid
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock


class _Lease(msgspec.Struct):
    ends: timedelta
    time_to_live: timedelta


class Sessions:
    """Sessions by identifier."""

    __slots__ = ('_clock', '_leases')

    def __init__(self, clock: Clock) -> None:
        """Start without sessions."""
        self._clock = clock
        self._leases: dict[str, _Lease] = {}

    def open(self, time_to_live: timedelta) -> str:
        """Create a session."""
        session = str(uuid.uuid4())
        ends = self._clock.read_monotonic() + time_to_live
        self._leases[session] = _Lease(ends, time_to_live)
        return session

    def renew(self, session: str) -> bool:
        """Extend a session that has not lapsed."""
        if not self.is_alive(session):
            return False
        lease = self._leases[session]
        lease.ends = self._clock.read_monotonic() + lease.time_to_live
        return True

    def is_alive(self, session: str) -> bool:
        """Tell whether a session exists and has not lapsed."""
        lease = self._leases.get(session)
        if lease is None:
            return False
        return self._clock.read_monotonic() < lease.ends
