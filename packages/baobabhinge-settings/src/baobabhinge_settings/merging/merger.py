"""Merging of files into checked settings."""

from collections.abc import Iterable, Sequence

import msgspec

from baobabhinge_settings.checking import find_faults
from baobabhinge_settings.errors import Fault, SettingsError
from baobabhinge_settings.merging.settings_builder import build_settings
from baobabhinge_settings.model import Settings
from baobabhinge_settings.reading.folder import SourceFile, sort_files
from baobabhinge_settings.reading.ini_parser import parse_ini
from baobabhinge_settings.reading.merged_folder import MergedFolder
from baobabhinge_settings.reading.typed_file import TypedFile, build_typed_file


class _ParsedSource(msgspec.Struct, frozen=True):
    source: SourceFile
    typed: TypedFile


class Merger:
    """Merge files repeatedly; parse only those that changed since last time.

    Examples
    --------
    >>> merger = Merger()
    >>> settings = merger.merge([SourceFile('10.ini', TEXT)])
    """

    __slots__ = ('_parsed',)

    def __init__(self) -> None:
        """Start without parsed files."""
        self._parsed: dict[str, _ParsedSource] = {}

    def merge(self, files: Iterable[SourceFile]) -> Settings:
        """Return the typed settings of ``files``.

        Parameters
        ----------
        files : iterable of SourceFile
            Files in any order; they are merged in the byte order of names.

        Raises
        ------
        SettingsError
            If there are faults; it has all of them.
        """
        merged = self.merge_sections(files)
        faults = [*merged.faults, *find_faults(merged)]
        if faults:
            raise SettingsError(faults)
        return build_settings(merged)

    def merge_sections(self, files: Iterable[SourceFile]) -> MergedFolder:
        """Return the merged sections of ``files``, before the checks."""
        ordered = sort_files(files)
        self._parsed = {
            source.name: self._parse_changed(source) for source in ordered
        }
        merged = MergedFolder()
        for parsed in self._parsed.values():
            merged.add_file(parsed.typed)
        return merged

    def _parse_changed(self, source: SourceFile) -> _ParsedSource:
        parsed = self._parsed.get(source.name)
        if parsed is not None and parsed.source == source:
            return parsed
        return _ParsedSource(source, build_typed_file(parse_ini(source)))


def merge_files(files: Iterable[SourceFile]) -> Settings:
    """Merge ``files`` in the byte order of their names.

    Parameters
    ----------
    files : iterable of SourceFile
        Files in any order.

    Returns
    -------
    Settings
        The merged settings.

    Raises
    ------
    SettingsError
        If there are faults; it has all of them.
    """
    return Merger().merge(files)


def check_files(files: Iterable[SourceFile]) -> Sequence[Fault]:
    """Return all faults of ``files``, sorted by file and line."""
    try:
        merge_files(files)
    except SettingsError as error:
        return error.faults
    return ()
