"""Files of a settings folder, in the byte order of their names."""

from pathlib import Path

import msgspec

FILE_PATTERN = '*.ini'


class SourceFile(msgspec.Struct, frozen=True):
    """One file of the folder, as text.

    Parameters
    ----------
    name : str
        Name without the folder.
    text : str
        Content.
    """

    name: str
    text: str


def read_folder(folder: Path) -> tuple[SourceFile, ...]:
    """Read every settings file of ``folder``.

    Parameters
    ----------
    folder : Path
        Folder that holds the ``.ini`` files.

    Returns
    -------
    tuple of SourceFile
        Files in the byte order of their names.
    """
    paths = sorted(folder.glob(FILE_PATTERN), key=_order_by_bytes)
    return tuple(
        SourceFile(path.name, path.read_text(encoding='utf-8'))
        for path in paths
    )


def _order_by_bytes(path: Path) -> bytes:
    return path.name.encode()
