"""Keys that were removed lately, so that changes can be told to others."""

from collections import OrderedDict
from collections.abc import Mapping

# Some minutes of a deployment that replaces ten servers a second.
MAX_REMOVALS = 4096
UNKNOWN = (1 << 63) - 1


class RemovalHistory:
    """Removals below one prefix of the store, with their revisions.

    Attributes
    ----------
    begins_at : int
        Revision from which on all removals are known.
    """

    __slots__ = ('_removed', 'begins_at')

    def __init__(self) -> None:
        """Start without a list, so that no removals are known."""
        # The oldest removal is the first one.
        self._removed: OrderedDict[str, int] = OrderedDict()
        self.begins_at = UNKNOWN

    def begin(self, as_of: int) -> None:
        """Begin anew with a list, as it does not show what came and went."""
        self.begins_at = as_of
        self._removed.clear()

    @property
    def has_begun(self) -> bool:
        """Whether a complete list was applied."""
        return self.begins_at != UNKNOWN

    def record(self, key: str, revision: int) -> None:
        """Record that a key was removed at a revision, or before it."""
        self._removed.pop(key, None)
        self._removed[key] = revision
        while len(self._removed) > MAX_REMOVALS:
            oldest = self._removed.popitem(last=False)
            self.begins_at = max(self.begins_at, oldest[1])

    def forget(self, key: str) -> None:
        """Record that a key was written again."""
        self._removed.pop(key, None)

    def list_since(self, revision: int) -> Mapping[str, int]:
        """Return the keys that were removed after a revision."""
        return {
            key: removed
            for key, removed in self._removed.items()
            if removed > revision
        }
