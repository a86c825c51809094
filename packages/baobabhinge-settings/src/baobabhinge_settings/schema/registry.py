"""Registry of the kinds of section."""

from collections.abc import Callable
from typing import Any

import msgspec

from baobabhinge_settings.schema.keys import Key, Reference

Builder = Callable[..., Any]
_kinds: dict[str, 'SectionKind'] = {}


class SectionKind(msgspec.Struct, frozen=True):
    """One kind of section.

    Parameters
    ----------
    name : str
        First word between the brackets.
    names : tuple
        What the following words stand for: a new name (``None``), or a
        reference.
    keys : dict of str to Key
        Allowed keys.
    build : callable
        Maker of the typed value; it gets the names, then each key that is set
        as a keyword.
    """

    name: str
    names: tuple[Reference | None, ...]
    keys: dict[str, Key]
    build: Builder

    def describe(self) -> str:
        """Return how the header is written."""
        words = [
            reference.kind.upper() if reference else 'NAME'
            for reference in self.names
        ]
        return ' '.join((self.name, *words))


def register_section(
    kind: str,
    names: tuple[Reference | None, ...],
    *keys: Key,
) -> Callable[[Builder], Builder]:
    """Return a decorator that registers the builder of a kind of section."""

    def register(build: Builder) -> Builder:
        by_name = {key.name: key for key in keys}
        _kinds[kind] = SectionKind(kind, names, by_name, build)
        return build

    return register


def find_section_kind(kind: str) -> SectionKind | None:
    """Return the kind called ``kind``, if there is one."""
    return _kinds.get(kind)


def list_section_kinds() -> list[SectionKind]:
    """Return every kind, by name."""
    return [_kinds[name] for name in sorted(_kinds)]
