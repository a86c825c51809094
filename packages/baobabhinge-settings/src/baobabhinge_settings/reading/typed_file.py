"""Sections of one file, with names and keys parsed and checked."""

from typing import Any

import msgspec

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault, FieldError
from baobabhinge_settings.reading.ini_parser import RawFile, RawKey, RawSection
from baobabhinge_settings.reading.references import (
    ReferencedSection,
    TypedKey,
    list_referenced_sections,
)
from baobabhinge_settings.schema import (
    SectionKind,
    find_section_kind,
    list_section_kinds,
)
from baobabhinge_settings.schema.names import compute_skeleton, parse_name


class TypedSection(msgspec.Struct):
    """A section of a known kind.

    Parameters
    ----------
    kind : SectionKind
        Kind of the section.
    names : tuple of str
        Names in the header.
    source, line : str, int
        File and line of the header.
    keys : dict of str to TypedKey
        Valid keys by name.
    invalid_keys : frozenset of str
        Names of the keys that are unknown or whose text is invalid.
    references : tuple of ReferencedSection
        Sections that it refers to.
    skeleton : tuple of str
        Kind, and skeletons of the names; headers that look alike have the
        same.
    built : optional
        Typed value, built at the first merge and used again by later ones.
    """

    kind: SectionKind
    names: tuple[str, ...]
    source: str
    line: int
    keys: dict[str, TypedKey]
    invalid_keys: frozenset[str]
    references: tuple[ReferencedSection, ...]
    skeleton: tuple[str, ...]
    built: Any = None


class TypedFile(msgspec.Struct, frozen=True):
    """A file with its typed sections and its faults."""

    name: str
    sections: tuple[TypedSection, ...]
    faults: tuple[Fault, ...]


def build_typed_file(raw: RawFile) -> TypedFile:
    """Parse and check the sections of ``raw``."""
    reader = _TypedFileReader(raw.name, raw.faults)
    typed = [reader.read_section(section) for section in raw.sections.values()]
    sections = tuple(section for section in typed if section is not None)
    return TypedFile(raw.name, sections, tuple(reader.faults))


class _TypedFileReader:
    __slots__ = ('_source', 'faults')

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self._source = source
        self.faults = list(faults)

    def read_section(self, raw: RawSection) -> TypedSection | None:
        kind = find_section_kind(raw.kind)
        if kind is None or len(raw.names) != len(kind.names):
            self._report_header(raw, kind)
            return None
        try:
            names = tuple(parse_name(word) for word in raw.names)
        except FieldError as error:
            self._report(raw.line, error.code, error.message)
            return None
        keys = self._read_keys(kind, raw)
        invalid_keys = frozenset(raw.keys) - frozenset(keys)
        return TypedSection(
            kind,
            names,
            self._source,
            raw.line,
            keys,
            invalid_keys,
            list_referenced_sections(kind, names, keys.values()),
            (kind.name, *map(compute_skeleton, names)),
        )

    def _read_keys(
        self,
        kind: SectionKind,
        raw: RawSection,
    ) -> dict[str, TypedKey]:
        read = [self._read_key(kind, key) for key in raw.keys.values()]
        return {typed.key.name: typed for typed in read if typed is not None}

    def _read_key(self, kind: SectionKind, raw: RawKey) -> TypedKey | None:
        key = kind.keys.get(raw.name)
        if key is None:
            allowed = ', '.join(sorted(kind.keys))
            self._report(
                raw.line,
                FaultCode.unknown_key,
                f'[{kind.name}] has no key "{raw.name}"; allowed: {allowed}',
            )
            return None
        try:
            parsed = key.parse(raw.text)
        except FieldError as error:
            self._report(raw.line, error.code, f'{raw.name}: {error.message}')
            return None
        return TypedKey(key, parsed, raw.text, self._source, raw.line)

    def _report_header(self, raw: RawSection, kind: SectionKind | None) -> None:
        kinds = [kind] if kind else list_section_kinds()
        written = ' '.join((raw.kind, *raw.names))
        allowed = ', '.join(f'[{known.describe()}]' for known in kinds)
        self._report(
            raw.line,
            FaultCode.unknown_section,
            f'[{written}] is not a known section; allowed: {allowed}',
        )

    def _report(self, line: int, code: FaultCode, message: str) -> None:
        self.faults.append(Fault(self._source, line, code, message))
