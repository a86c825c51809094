"""Keys of a kind of section."""

from collections.abc import Callable
from typing import Any

import msgspec

Parser = Callable[[str], Any]


class Reference(msgspec.Struct, frozen=True):
    """What a name has to be the name of.

    Parameters
    ----------
    kind : str
        Kind of section that has to exist.
    is_owned : bool
        Whether that section's first name is the first name of this section,
        as for the versions of a service.
    """

    kind: str
    is_owned: bool = False


class Key(msgspec.Struct, frozen=True):
    """One key.

    Parameters
    ----------
    name : str
        Name as written.
    parse : callable
        Reader of the text.
    is_required : bool
        Whether the section needs it.
    is_overridable : bool
        Whether a later file may set it again.
    reference : Reference, optional
        What the written names have to be the names of.
    """

    name: str
    parse: Parser
    is_required: bool = True
    is_overridable: bool = False
    reference: Reference | None = None

    @property
    def attribute(self) -> str:
        """Return the name of the attribute that holds the typed value."""
        return self.name.replace('-', '_')
