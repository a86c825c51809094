"""Typed keys, and the sections to which they refer."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from baobabhinge_settings.schema import Key, Reference, SectionKind


class TypedKey(msgspec.Struct, frozen=True):
    """A key with its typed value, its text, and its file and line."""

    key: Key
    parsed: Any
    text: str
    source: str
    line: int


class ReferencedSection(msgspec.Struct, frozen=True):
    """A section that has to exist because another one refers to it.

    Parameters
    ----------
    kind, names : str, tuple of str
        Kind and names of the section.
    key : str
        Key that refers to it; empty for the header.
    """

    kind: str
    names: tuple[str, ...]
    key: str = ''


def list_referenced_sections(
    kind: SectionKind,
    names: tuple[str, ...],
    keys: Iterable[TypedKey],
) -> tuple[ReferencedSection, ...]:
    """Return the sections to which a header and its keys refer."""
    in_header = (
        ReferencedSection(reference.kind, (name,))
        for name, reference in zip(names, kind.names, strict=True)
        if reference is not None
    )
    in_keys = (
        referenced
        for typed in keys
        if typed.key.reference is not None
        for referenced in _list_for_key(typed, typed.key.reference, names)
    )
    return (*in_header, *in_keys)


def _list_for_key(
    typed: TypedKey,
    reference: Reference,
    names: tuple[str, ...],
) -> Iterator[ReferencedSection]:
    owner = names[:1] if reference.is_owned else ()
    parsed = typed.parsed
    for name in parsed if isinstance(parsed, tuple) else (parsed,):
        yield ReferencedSection(reference.kind, (*owner, name), typed.key.name)
