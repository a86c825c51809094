"""Files and lines that set a key, including overridden ones."""

from collections.abc import Iterable

import msgspec

from baobabhinge_settings.errors import UnknownSettingError
from baobabhinge_settings.merging.merger import Merger
from baobabhinge_settings.reading.folder import SourceFile
from baobabhinge_settings.reading.merged_folder import (
    MergedFolder,
    MergedSection,
)
from baobabhinge_settings.reading.references import TypedKey


class KeyOrigin(msgspec.Struct, frozen=True):
    """A line of a file that sets a key.

    Parameters
    ----------
    source, line : str, int
        File and line that set the key.
    text : str
        Text of the key as written there.
    """

    source: str
    line: int
    text: str


def explain_key(
    files: Iterable[SourceFile],
    section: str,
    key: str,
) -> tuple[KeyOrigin, ...]:
    """Return the lines that set ``key``, the effective one first.

    Parameters
    ----------
    files : iterable of SourceFile
        All files of the folder.
    section : str
        Header without brackets, such as ``placement llm west``.
    key : str
        Name of the key.

    Raises
    ------
    UnknownSettingError
        If no file sets it; the message lists the keys or sections there are.
    """
    found = _find_section(Merger().merge_sections(files), section)
    if key not in found.keys:
        known = ', '.join(sorted(found.keys))
        raise UnknownSettingError(
            f'[{section}] does not set the key {key}; keys set: {known}',
        )
    settings = [found.keys[key]]
    settings.extend(reversed(found.overridden.get(key, ())))
    return tuple(map(_create_origin, settings))


def _find_section(merged: MergedFolder, section: str) -> MergedSection:
    kind, _, names = section.partition(' ')
    found = merged.find(kind, tuple(names.split()))
    if found is None:
        known = ', '.join(merged.list_names(kind)) or 'none'
        raise UnknownSettingError(
            f'there is no [{section}]; names of this kind: {known}',
        )
    return found


def _create_origin(typed: TypedKey) -> KeyOrigin:
    return KeyOrigin(typed.source, typed.line, typed.text)
