"""From files to checked settings."""

from collections.abc import Iterable, Sequence

import msgspec

from baobabhinge_settings.checking import find_faults
from baobabhinge_settings.errors import Fault, SettingsError
from baobabhinge_settings.merging.building import build_settings
from baobabhinge_settings.model import Settings
from baobabhinge_settings.reading.folder import SourceFile, sort_files
from baobabhinge_settings.reading.folding import MergedFolder
from baobabhinge_settings.reading.lines import read_lines
from baobabhinge_settings.reading.typed import TypedFile, read_typed


class _Known(msgspec.Struct, frozen=True):
    source: SourceFile
    typed: TypedFile


class Merger:
    """Merge again and again; files that did not change are not read again.

    Examples
    --------
    >>> merger = Merger()
    >>> settings = merger.merge([SourceFile('10.ini', TEXT)])
    """

    __slots__ = ('_known',)

    def __init__(self) -> None:
        """Start without known files."""
        self._known: dict[str, _Known] = {}

    def merge(self, files: Iterable[SourceFile]) -> Settings:
        """Return the typed whole of ``files``.

        Parameters
        ----------
        files : iterable of SourceFile
            Files in any order; they are merged in the byte order of names.

        Raises
        ------
        SettingsError
            With every fault that was found.
        """
        merged = self.fold(files)
        faults = [*merged.faults, *find_faults(merged)]
        if faults:
            raise SettingsError(faults)
        return build_settings(merged)

    def fold(self, files: Iterable[SourceFile]) -> MergedFolder:
        """Return the sections of ``files`` put on top of one another."""
        ordered = sort_files(files)
        self._known = {
            source.name: self._read_once(source) for source in ordered
        }
        merged = MergedFolder()
        for known in self._known.values():
            merged.add_file(known.typed)
        return merged

    def _read_once(self, source: SourceFile) -> _Known:
        known = self._known.get(source.name)
        if known is not None and known.source == source:
            return known
        return _Known(source, read_typed(read_lines(source)))


def merge_files(files: Iterable[SourceFile]) -> Settings:
    """Merge ``files`` in the byte order of their names.

    Parameters
    ----------
    files : iterable of SourceFile
        Files in any order.

    Returns
    -------
    Settings
        The merged whole.

    Raises
    ------
    SettingsError
        With every fault that was found.
    """
    return Merger().merge(files)


def check_files(files: Iterable[SourceFile]) -> Sequence[Fault]:
    """Return every fault of ``files``, in the order of files and lines."""
    try:
        merge_files(files)
    except SettingsError as refused:
        return refused.faults
    return ()
