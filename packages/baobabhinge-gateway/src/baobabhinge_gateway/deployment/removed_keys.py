"""Workspaces to which keys belonged that are in force no longer."""

from collections.abc import Mapping

import structlog

# Bounds the memory when keys are replaced often.
MAX_REMOVED_KEYS = 10_000

log = structlog.get_logger(__name__)


class RemovedKeys:
    """Former keys of workspaces, by their digests.

    Operators find by them whose key a refused caller has used.
    """

    __slots__ = ('_names',)

    def __init__(self) -> None:
        """Start without removed keys."""
        self._names: dict[str, str] = {}

    def replace(
        self,
        before: Mapping[str, str],
        now: Mapping[str, str],
        version: int,
    ) -> None:
        """Record the keys that a new configuration removes.

        Parameters
        ----------
        before, now : mapping of str to str
            Names of the workspaces by digests of their keys.
        version : int
            New version, for the log.
        """
        removed = {key: before[key] for key in before if key not in now}
        if removed:
            log.info(
                'workspace-keys-removed',
                workspaces=sorted(set(removed.values())),
                version=version,
            )
        known = {**self._names, **removed}
        former = [key for key in known if key not in now]
        self._names = {key: known[key] for key in former[-MAX_REMOVED_KEYS:]}

    def get(self, key: str) -> str | None:
        """Return the former workspace of a key by its digest, or ``None``."""
        return self._names.get(key)
