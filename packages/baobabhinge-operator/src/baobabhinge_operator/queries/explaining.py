"""Command that shows which file set a key."""

from pathlib import Path

from baobabhinge_operator.connections import read_release, render_json
from baobabhinge_settings import (
    KeyOrigin,
    SourceFile,
    explain_key,
    read_folder,
)


async def explain(
    section: str,
    key: str,
    *,
    folder: Path | None = None,
    json: bool = False,
    key_value: str | None = None,
) -> str:
    """Tell which file set a key, and what it overrode.

    Exit codes: 0 done, 1 no file sets the key, 2 wrong usage, 4 the key-value
    service does not answer.

    Parameters
    ----------
    section
        Words of the section, such as "placement appraiser-llm fukuoka".
    key
        Name of the key, such as replicas.
    folder
        Explain this folder, in place of what runs.
    json
        Write JSON.
    key_value
        Address of the key-value service.
    """
    files = await _read_files(folder, key_value)
    origins = explain_key(files, section, key)
    if json:
        return render_json(origins)
    in_force, *overridden = map(_render, origins)
    return '\n  overrides '.join((in_force, *overridden))


async def _read_files(
    folder: Path | None,
    key_value: str | None,
) -> tuple[SourceFile, ...]:
    if folder is not None:
        return read_folder(folder)
    release = await read_release(key_value)
    return tuple(
        SourceFile(listed.name, listed.text) for listed in release.files
    )


def _render(origin: KeyOrigin) -> str:
    return f'{origin.source}:{origin.line}: {origin.text}'
