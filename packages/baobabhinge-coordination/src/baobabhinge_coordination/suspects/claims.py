"""Mutual exclusion that runs a suspect once at a time in a region."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec


class _Claim(msgspec.Struct):
    is_held: bool = False
    has_yielded: bool = False


class RunClaims:
    """Requests that one member runs, and its claims for suspects.

    A member that wants to run a suspect claims two resources in turn by asking
    the other members: the fingerprint of the suspect, and the server to run it
    on. It holds a claim once none of them runs the request or holds the same
    claim. Of two members that ask at the same time, the one with the lower name
    goes first: the other one yields and asks again.

    Parameters
    ----------
    own_name : str
        Name of this member.

    References
    ----------
    Ricart and Agrawala, "An optimal algorithm for mutual exclusion in
    computer networks", 1981.

    Examples
    --------
    >>> first, second = RunClaims('a'), RunClaims('b')
    >>> first.begin('prompt'), second.begin('prompt')
    (True, True)
    >>> first.is_busy('prompt', 'b'), second.is_busy('prompt', 'a')
    (True, False)
    >>> first.settle('prompt', is_free=True)
    True
    """

    __slots__ = ('_claims', '_own_name', '_running')

    def __init__(self, own_name: str) -> None:
        """Start without running requests and claims."""
        self._own_name = own_name
        self._claims: dict[str, _Claim] = {}
        self._running: Counter[str] = Counter()

    @contextmanager
    def track_run(self, fingerprint: str) -> Iterator[None]:
        """Count a request as running while the context is open."""
        self._running[fingerprint] += 1
        try:
            yield
        finally:
            self._running[fingerprint] -= 1
            self._running += Counter()

    def begin(self, wanted: str) -> bool:
        """Begin a claim, unless this member runs or claims it already.

        Returns
        -------
        bool
            Whether the other members may be asked now.
        """
        if wanted in self._claims or self._running[wanted]:
            return False
        self._claims[wanted] = _Claim()
        return True

    def is_busy(self, wanted: str, requester: str) -> bool:
        """Return whether the claim of another member has to wait.

        A claim of this member that is not held yet yields to a lower name.
        """
        if self._running[wanted]:
            return True
        claim = self._claims.get(wanted)
        if claim is None:
            return False
        if claim.is_held or self._own_name < requester:
            return True
        claim.has_yielded = True
        return False

    def settle(self, wanted: str, *, is_free: bool) -> bool:
        """Hold the claim if it is free at all other members; else drop it.

        Returns
        -------
        bool
            Whether the claim is held.
        """
        claim = self._claims[wanted]
        claim.is_held = is_free and not claim.has_yielded
        if not claim.is_held:
            self.release(wanted)
        return claim.is_held

    def release(self, wanted: str) -> None:
        """Drop the claim."""
        self._claims.pop(wanted)
