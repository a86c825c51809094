"""Keys of a section, and references to other sections."""

from collections.abc import Callable
from typing import Any

import msgspec

Parser = Callable[[str], Any]


class Reference(msgspec.Struct, frozen=True):
    """The kind of section that a name refers to.

    Parameters
    ----------
    kind : str
        Kind of the section, which has to exist.
    is_owned : bool
        Whether both sections have the same first name, as a placement and
        the versions of its service.
    """

    kind: str
    is_owned: bool = False


class Key(msgspec.Struct, frozen=True):
    """A key that a kind of section may have.

    Parameters
    ----------
    name : str
        Name as written in files.
    parse : callable
        Parser of the text; it raises `FieldError` for bad text.
    is_required : bool
        Whether every such section has to set it.
    is_overridable : bool
        Whether a later file may set it again.
    reference : Reference, optional
        Kind of section that the written names refer to.
    """

    name: str
    parse: Parser
    is_required: bool = True
    is_overridable: bool = False
    reference: Reference | None = None

    @property
    def attribute(self) -> str:
        """Return the name of the attribute for the typed value."""
        return self.name.replace('-', '_')
