"""Registry of what must hold after a soak."""

from collections.abc import Callable, Iterable

import msgspec

from baobabhinge_standins.soak.evidence import Evidence


class Violation(msgspec.Struct, frozen=True):
    """Something that must not be.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    subject : str
        Call, gateway or process.
    """

    invariant: str
    subject: str


Check = Callable[[Evidence], Iterable[str]]
CHECKS: dict[str, Check] = {}


def register_check(name: str) -> Callable[[Check], Check]:
    """Return a decorator that registers an invariant under ``name``."""

    def register(check: Check) -> Check:
        CHECKS[name] = check
        return check

    return register


def find_violations(evidence: Evidence) -> list[Violation]:
    """Return every violation of every invariant."""
    return [
        Violation(name, subject)
        for name, check in CHECKS.items()
        for subject in check(evidence)
    ]
