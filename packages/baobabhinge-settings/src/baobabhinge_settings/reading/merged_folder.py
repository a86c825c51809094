"""Sections merged from all files; later files override earlier ones."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.references import ReferencedSection, TypedKey
from baobabhinge_settings.reading.typed_file import TypedFile, TypedSection


class MergedSection(msgspec.Struct):
    """A section, merged from all files that have it.

    Parameters
    ----------
    first : TypedSection
        The section in the first file that has it.
    keys : dict of str to TypedKey
        Effective keys by name.
    overridden : dict of str to list of TypedKey
        Earlier settings of keys that a later file set again, oldest first.
    invalid_keys : frozenset of str
        Names of the keys that are unknown or whose text is invalid.
    references : tuple of ReferencedSection
        Sections that it refers to, in any of the files.
    """

    first: TypedSection
    keys: dict[str, TypedKey]
    overridden: dict[str, list[TypedKey]]
    invalid_keys: frozenset[str]
    references: tuple[ReferencedSection, ...]

    @property
    def title(self) -> str:
        """Return the text of the header, without the brackets."""
        return ' '.join((self.first.kind.name, *self.first.names))

    @property
    def location(self) -> str:
        """Return the header with its file and line, for messages."""
        first = self.first
        return f'[{self.title}] of {first.source}, line {first.line}'

    def build(self) -> Any:
        """Return the typed value of the section."""
        first = self.first
        if self.keys is not first.keys:
            return first.kind.build(*first.names, **_map_attributes(self.keys))
        if first.built is None:
            named = _map_attributes(first.keys)
            first.built = first.kind.build(*first.names, **named)
        return first.built

    def is_complete(self) -> bool:
        """Return whether all required keys are set and all keys are valid."""
        return not self.invalid_keys and all(
            key.name in self.keys
            for key in self.first.kind.keys.values()
            if key.is_required
        )

    def get(self, key: str) -> Any:
        """Return the typed value of ``key``, or ``None`` if it is not set."""
        typed = self.keys.get(key)
        return typed.parsed if typed else None

    def override(self, key: str, later: TypedKey) -> None:
        """Replace ``key`` with the setting of a later file."""
        earlier = self.keys.get(key)
        if earlier is not None:
            self.overridden.setdefault(key, []).append(earlier)
        self.keys = self.keys | {key: later}

    def create_fault(
        self, code: FaultCode, message: str, key: str = ''
    ) -> Fault:
        """Create a fault at the line of ``key``, or else at the header."""
        location = self.keys.get(key, self.first)
        return Fault(location.source, location.line, code, message)


SectionsByNames = dict[tuple[str, ...], MergedSection]


class MergedFolder:
    """Merged sections by kind and names."""

    __slots__ = ('_by_kind', 'faults')

    def __init__(self) -> None:
        """Start without sections and faults."""
        self._by_kind: dict[str, SectionsByNames] = {}
        self.faults: list[Fault] = []

    def list_kind(self, kind: str) -> Iterable[MergedSection]:
        """Return the sections of one kind, in the order of the files."""
        return self._by_kind.get(kind, {}).values()

    def list_sections(self) -> Iterator[MergedSection]:
        """Iterate over all sections, kind by kind."""
        for sections in self._by_kind.values():
            yield from sections.values()

    def find(self, kind: str, names: tuple[str, ...]) -> MergedSection | None:
        """Return the section of this kind and names, if there is one."""
        return self._by_kind.get(kind, {}).get(names)

    def list_names(self, kind: str) -> list[str]:
        """Return the sorted names of the sections of one kind."""
        names = self._by_kind.get(kind, {})
        return sorted(map(' '.join, names))

    def add_file(self, typed: TypedFile) -> None:
        """Merge the next file; its keys override those of earlier files."""
        self.faults.extend(typed.faults)
        for section in typed.sections:
            same_kind = self._by_kind.setdefault(section.kind.name, {})
            merged = same_kind.get(section.names)
            if merged is None:
                same_kind[section.names] = MergedSection(
                    section,
                    section.keys,
                    {},
                    section.invalid_keys,
                    section.references,
                )
            else:
                self._override(merged, section)

    def _override(self, merged: MergedSection, later: TypedSection) -> None:
        merged.invalid_keys |= later.invalid_keys
        merged.references += later.references
        for name, typed in later.keys.items():
            if typed.key.is_overridable:
                merged.override(name, typed)
            else:
                self.faults.append(_create_override_fault(merged, typed))


def _map_attributes(keys: dict[str, TypedKey]) -> dict[str, Any]:
    return {typed.key.attribute: typed.parsed for typed in keys.values()}


def _create_override_fault(merged: MergedSection, typed: TypedKey) -> Fault:
    keys = merged.first.kind.keys.values()
    allowed = sorted(key.name for key in keys if key.is_overridable)
    listed = ', '.join(allowed) or 'no key'
    return Fault(
        typed.source,
        typed.line,
        FaultCode.override_not_allowed,
        f'only {merged.location}, may set this key; a later file may set:'
        f' {listed}',
    )
