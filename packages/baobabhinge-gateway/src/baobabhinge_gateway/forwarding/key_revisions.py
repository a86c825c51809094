"""Store revisions of the keys below one prefix, by which changes are ordered.

A list of the store is complete to one revision, though its later pages may show
newer changes. What changed after that revision arrives as single changes, or
with a later list.
"""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_gateway.forwarding.removal_history import RemovalHistory

NO_LIST = -1


class ListRevisions(msgspec.Struct, frozen=True):
    """Revisions of one complete list of keys.

    Parameters
    ----------
    as_of : int
        The list shows all changes up to this revision.
    newest : int
        Newest change that the list is known to show.
    shows_removals : bool, optional
        Whether ``newest`` counts removals, which a list of the store does not
        show.
    is_certain : bool, optional
        Whether the list is known to be complete. Gateways of earlier versions
        tell only the newest revision that they have seen.
    """

    as_of: int
    newest: int
    shows_removals: bool = True
    is_certain: bool = True


class ListChanges(msgspec.Struct, frozen=True):
    """What a list changes.

    Parameters
    ----------
    written : sequence of str
        Listed keys for which the list is at least as new as what was known.
    removed : sequence of str
        Keys that the list shows to be gone.
    """

    written: Sequence[str]
    removed: Sequence[str]


class RevisionProgress:
    """How far a gateway knows the changes below one prefix.

    Attributes
    ----------
    complete_to : int
        All changes up to this revision are known. The store counts changes of
        all its keys, so that this grows without any change below the prefix.
    newest : int
        Newest change below the prefix, of those up to `complete_to`.
    claimed : int
        Newest revision of the lists that are not known to be complete.
    is_uncertain : bool
        Whether such a list was applied.
    """

    __slots__ = (
        '_pending',
        'claimed',
        'complete_to',
        'is_uncertain',
        'newest',
    )

    def __init__(self) -> None:
        """Start at revision 0."""
        # Newest change, whether or not all changes before it are known.
        self._pending = 0
        self.complete_to = 0
        self.newest = 0
        self.claimed = 0
        self.is_uncertain = False

    @property
    def known_to(self) -> int:
        """Revision up to which another gateway has nothing to tell."""
        return max(self.complete_to, self.claimed)

    @property
    def told(self) -> int:
        """Newest change that this gateway has to tell others."""
        if self.is_uncertain:
            return max(self.newest, self.claimed)
        return self.newest

    def note(self, revision: int) -> None:
        """Record that something below the prefix changed at a revision."""
        self._pending = max(self._pending, revision)
        self.complete(self.complete_to)

    def complete(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self.complete_to = max(self.complete_to, revision)
        if self._pending <= self.complete_to:
            self.newest = max(self.newest, self._pending)

    def claim(self, revision: int) -> None:
        """Record a revision of which an uncertain list tells."""
        self.claimed = max(self.claimed, revision)

    def record_list(
        self, revisions: ListRevisions, *, has_removed: bool
    ) -> None:
        """Record that a list was applied, and whether it lacked known keys."""
        if not revisions.is_certain:
            self.claim(revisions.as_of)
            self.is_uncertain = True
            return
        if revisions.as_of >= self.claimed:
            self.is_uncertain = False
        self.complete(revisions.as_of)
        if has_removed and not revisions.shows_removals:
            # The removals were no later than this.
            self.newest = max(self.newest, revisions.as_of)
        else:
            self.newest = max(self.newest, revisions.newest)


def has_to_read(progress: RevisionProgress) -> bool:
    """Return whether only a list of the store shows how the keys are."""
    is_behind = progress.claimed > progress.complete_to
    return progress.is_uncertain or is_behind


class KeyRevisions:
    """Newest known revision of each key.

    An older change or list never takes the place of a newer one.

    Attributes
    ----------
    progress : RevisionProgress
        How far the changes of all keys are known.
    history : RemovalHistory
        Keys that were removed lately.
    written : dict of str to int
        Revision of each key that is known and not removed.
    """

    __slots__ = ('_removed', 'history', 'progress', 'written')

    def __init__(self) -> None:
        """Start without keys, at revision 0."""
        self.written: dict[str, int] = {}
        # Removals that an older list might undo.
        self._removed: dict[str, int] = {}
        self.progress = RevisionProgress()
        self.history = RemovalHistory()

    @property
    def present(self) -> frozenset[str]:
        """Keys that are known and not removed."""
        return frozenset(self.written)

    def write(self, key: str, revision: int) -> bool:
        """Record that a key was written; return whether this is news."""
        if not self._is_news(key, revision):
            return False
        self._removed.pop(key, None)
        self.history.forget(key)
        self.written[key] = revision
        self.progress.note(revision)
        return True

    def remove(self, key: str, revision: int) -> bool:
        """Record that a key was removed; return whether this is news."""
        if not self._is_news(key, revision):
            return False
        self.written.pop(key, None)
        self._removed[key] = revision
        self.history.record(key, revision)
        self.progress.note(revision)
        return True

    def complete(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self.progress.complete(revision)
        for key, removed in tuple(self._removed.items()):
            if removed <= self.progress.complete_to:
                self._removed.pop(key)

    def replace(
        self, listed: Mapping[str, int], revisions: ListRevisions
    ) -> ListChanges:
        """Apply a complete list; return what it changes.

        Parameters
        ----------
        listed : mapping of str to int
            Revision of each listed key.
        revisions : ListRevisions
            Revisions of the list.
        """
        is_ahead = revisions.as_of > self.progress.complete_to
        if revisions.is_certain and (is_ahead or not self.history.has_begun):
            self.history.begin(revisions.as_of)
        changes = ListChanges(
            [
                key
                for key, revision in listed.items()
                if self._is_news(key, revision, revisions.as_of)
            ],
            [
                key
                for key, revision in self.written.items()
                if key not in listed and revision <= revisions.as_of
            ],
        )
        for gone in changes.removed:
            self.written.pop(gone)
            self._removed[gone] = revisions.as_of
            self.history.record(gone, revisions.as_of)
        self.progress.record_list(revisions, has_removed=bool(changes.removed))
        for key in changes.written:
            self._removed.pop(key, None)
            self.history.forget(key)
            self.written[key] = listed[key]
            if listed[key] > revisions.as_of:
                self.progress.note(listed[key])
        self.complete(0)
        return changes

    def _is_news(self, key: str, revision: int, as_of: int = NO_LIST) -> bool:
        """Return whether a change, or a list of that revision, is news.

        A key that is not known was removed, if it ever was there.
        """
        removed = self._removed.get(key, self.progress.complete_to)
        known = self.written.get(key, removed)
        return known <= as_of or revision > known


class KeyChanges(msgspec.Struct, frozen=True):
    """Changes after a revision.

    Parameters
    ----------
    written, removed : mapping of str to int
        Revisions of the keys that were written or removed.
    """

    written: Mapping[str, int]
    removed: Mapping[str, int]


def list_changes(keys: KeyRevisions, since: int) -> KeyChanges | None:
    """Return all changes after a revision, ``None`` if some may be unknown.

    Parameters
    ----------
    keys : KeyRevisions
        What is known.
    since : int
        Revision up to which the changes are left out.
    """
    if keys.progress.is_uncertain or since < keys.history.begins_at:
        return None
    written = {
        key: revision
        for key, revision in keys.written.items()
        if revision > since
    }
    return KeyChanges(written, keys.history.list_since(since))
