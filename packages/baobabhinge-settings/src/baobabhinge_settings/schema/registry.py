"""Registry of the kinds of section."""

from collections.abc import Callable
from typing import Any

import msgspec

from baobabhinge_settings.schema.keys import Key, Reference

Builder = Callable[..., Any]
_kinds: dict[str, 'SectionKind'] = {}


class SectionKind(msgspec.Struct, frozen=True):
    """A kind of section.

    Parameters
    ----------
    name : str
        First word between the brackets.
    names : tuple
        Meaning of each further word: a new name (``None``) or a reference
        to another section.
    keys : dict of str to Key
        Allowed keys by name.
    build : callable
        Function that builds the typed value from the names, and from each key
        that is set as a keyword argument.
    """

    name: str
    names: tuple[Reference | None, ...]
    keys: dict[str, Key]
    build: Builder

    def describe(self) -> str:
        """Return the form of the header, such as ``version SERVICE NAME``."""
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
    """Return all kinds, sorted by name."""
    return [_kinds[name] for name in sorted(_kinds)]
