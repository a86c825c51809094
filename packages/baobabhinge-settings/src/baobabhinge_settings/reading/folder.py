"""Reading of the files of a settings folder."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from baobabhinge_settings.codes import FaultCode
from baobabhinge_settings.errors import Fault, SettingsError

FILE_PATTERN = '*.ini'
MAX_FILE_BYTES = 256 << 10


class SourceFile(msgspec.Struct, frozen=True):
    """A file of the folder, as text.

    Parameters
    ----------
    name : str
        Name of the file, without the folder.
    text : str
        Content of the file.
    """

    name: str
    text: str


def read_folder(folder: Path) -> tuple[SourceFile, ...]:
    """Read all settings files of ``folder``.

    Parameters
    ----------
    folder : Path
        Folder that holds the ``.ini`` files.

    Returns
    -------
    tuple of SourceFile
        Files in the byte order of their names.

    Raises
    ------
    SettingsError
        If the folder has no such file, or if files can't be read.
    """
    faults: list[Fault] = []
    files = tuple(
        SourceFile(path.name, read_text(path, faults))
        for path in sorted(folder.glob(FILE_PATTERN), key=_order_by_bytes)
    )
    if not files:
        faults.append(
            Fault(
                folder.name,
                0,
                FaultCode.empty_folder,
                'the folder does not exist or has no file named *.ini',
            ),
        )
    faults.extend(_check_names(files))
    if faults:
        raise SettingsError(faults)
    return files


def sort_files(files: Iterable[SourceFile]) -> tuple[SourceFile, ...]:
    """Return ``files`` in the byte order of their names."""
    return tuple(sorted(files, key=lambda source: source.name.encode()))


def _check_names(files: Iterable[SourceFile]) -> list[Fault]:
    return [
        Fault(
            source.name,
            0,
            FaultCode.not_ascii,
            'a file name may have ASCII letters, digits, "-" and "."',
        )
        for source in files
        if not source.name.isascii()
    ]


def read_text(path: Path, faults: list[Fault]) -> str:
    """Return the text of a file; append its faults to ``faults``."""
    try:
        return _decode(path.name, path.read_bytes())
    except SettingsError as error:
        faults.extend(error.faults)
    except OSError as error:
        reason = error.strerror or 'the file can not be read'
        faults.append(
            Fault(path.name, 0, FaultCode.file_unreadable, reason),
        )
    return ''


def _decode(name: str, body: bytes) -> str:
    if len(body) > MAX_FILE_BYTES:
        message = f'the file has {len(body)} bytes; allowed: {MAX_FILE_BYTES}'
        raise SettingsError([Fault(name, 0, FaultCode.file_too_large, message)])
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        line = body.count(b'\n', 0, error.start) + 1
        message = 'the file is not UTF-8; save it as UTF-8'
        raise SettingsError(
            [Fault(name, line, FaultCode.not_utf8, message)],
        ) from error


def _order_by_bytes(path: Path) -> bytes:
    return path.name.encode()
