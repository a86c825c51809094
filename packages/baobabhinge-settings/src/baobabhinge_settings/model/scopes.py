"""Index of the entries that apply to a service, a workspace or both."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Generic, Protocol, TypeVar


class Scoped(Protocol):
    """An entry with a scope; ``None`` stands for all."""

    @property
    def service(self) -> str | None:
        """Return the service that the entry applies to."""

    @property
    def workspace(self) -> str | None:
        """Return the workspace that the entry applies to."""


EntryT = TypeVar('EntryT', bound=Scoped)


class ScopeIndex(Generic[EntryT]):
    """Entries by scope; finding those of a call takes four look-ups.

    Parameters
    ----------
    entries : iterable
        Entries in the order of the files.
    """

    __slots__ = ('_by_scope', '_entries')

    def __init__(self, entries: Iterable[EntryT] = ()) -> None:
        """Index the entries by service and workspace."""
        self._entries = tuple(entries)
        self._by_scope: dict[tuple[str | None, str | None], list[EntryT]]
        self._by_scope = defaultdict(list)
        for entry in self._entries:
            self._by_scope[(entry.service, entry.workspace)].append(entry)

    def __eq__(self, other: object) -> bool:
        """Return whether both hold the same entries in the same order."""
        return isinstance(other, ScopeIndex) and tuple(other) == self._entries

    def __hash__(self) -> int:
        """Return the hash of the entries."""
        return hash(self._entries)

    def __iter__(self) -> Iterator[EntryT]:
        """Return an iterator over all entries."""
        return iter(self._entries)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def find(self, service: str, workspace: str) -> list[EntryT]:
        """Return the entries for a call, those of the narrowest scope first."""
        scopes = (
            (service, workspace),
            (service, None),
            (None, workspace),
            (None, None),
        )
        return [
            entry for scope in scopes for entry in self._by_scope.get(scope, ())
        ]
