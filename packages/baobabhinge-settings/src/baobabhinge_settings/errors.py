"""Faults found in settings, and the error that carries all of them."""

from collections.abc import Sequence

import msgspec


class Fault(msgspec.Struct, frozen=True):
    """One fault of the settings.

    Parameters
    ----------
    code : str
        Stable code, listed in ``docs/errors.md``.
    source : str
        Name of the file at fault.
    line : int
        Line in that file, counted from 1; 0 when the whole file is at fault.
    message : str
        What is wrong and what is allowed.
    """

    code: str
    source: str
    line: int
    message: str


class SettingsError(Exception):
    """The settings were refused; nothing was changed.

    Parameters
    ----------
    faults : sequence of Fault
        Every fault that was found, not the first alone.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Keep the faults and build a readable message of them."""
        self.faults = tuple(faults)
        super().__init__('; '.join(fault.message for fault in self.faults))
