"""Faults found in settings, and errors raised for them."""

from collections.abc import Sequence

import msgspec

from baobabhinge_settings.codes import FaultCode


class Fault(msgspec.Struct, frozen=True, order=True):
    """A fault of the settings; faults are sorted by file and line.

    Parameters
    ----------
    source : str
        Name of the file, or of the folder.
    line : int
        Line in that file, counted from 1; 0 for the file as a whole.
    code : FaultCode
        Stable code, listed in ``docs/errors-settings.md``.
    message : str
        What is wrong and what is allowed.
    """

    source: str
    line: int
    code: FaultCode
    message: str

    def render(self) -> str:
        """Return the fault as one line of text."""
        location = f'{self.source}:{self.line}'
        return f'{location}: {self.code}: {self.message}'


class SettingsError(Exception):
    """The settings have faults and are not applied, not even in part.

    Parameters
    ----------
    faults : sequence of Fault
        All faults that were found.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Sort the faults; the message has one line for each."""
        self.faults = tuple(sorted(faults))
        lines = [fault.render() for fault in self.faults]
        super().__init__('\n'.join(lines))


class FieldError(Exception):
    """The text of one value or name is invalid.

    Parameters
    ----------
    code : FaultCode
        Stable code.
    message : str
        What is wrong and what is allowed.
    """

    def __init__(self, code: FaultCode, message: str) -> None:
        """Store the code and the message."""
        super().__init__(message)
        self.code = code
        self.message = message


class UnknownSettingError(Exception):
    """No file sets the requested key."""
