"""Faults found in settings, and the error that carries all of them."""

from collections.abc import Sequence

import msgspec

from baobabhinge_settings.codes import FaultCode


class Fault(msgspec.Struct, frozen=True, order=True):
    """One fault of the settings.

    Parameters
    ----------
    source : str
        Name of the file at fault, or of the folder.
    line : int
        Line in that file, counted from 1; 0 when the whole file is at fault.
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
        place = f'{self.source}:{self.line}'
        return f'{place}: {self.code}: {self.message}'


class SettingsError(Exception):
    """The settings were refused; nothing was changed.

    Parameters
    ----------
    faults : sequence of Fault
        Every fault that was found, not the first alone.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Keep the faults and build a readable message of them."""
        self.faults = tuple(sorted(faults))
        lines = [fault.render() for fault in self.faults]
        super().__init__('\n'.join(lines))


class FieldError(Exception):
    """One written value can't be read.

    Parameters
    ----------
    code : FaultCode
        Stable code.
    message : str
        What is wrong and what is allowed.
    """

    def __init__(self, code: FaultCode, message: str) -> None:
        """Keep the code and the message."""
        super().__init__(message)
        self.code = code
        self.message = message


class UnknownSettingError(Exception):
    """No file sets the key that was asked for."""
