"""Command that checks a folder."""

from pathlib import Path

from baobabhinge_operator.connections import read_release, render_json
from baobabhinge_settings import (
    Fault,
    SettingsError,
    SourceFile,
    merge_files,
    read_folder,
)


async def check(
    folder: Path,
    *,
    published: bool = False,
    json: bool = False,
    key_value: str | None = None,
) -> str:
    """Check a folder and list every fault.

    Exit codes: 0 no fault, 1 faults, 2 wrong usage, 4 the key-value service
    does not answer.

    Parameters
    ----------
    folder
        Folder that holds the ``.ini`` files.
    published
        Check it together with the published files that are not in it.
    json
        Write JSON.
    key_value
        Address of the key-value service, for ``--published``.
    """
    published_texts = (
        await _read_published_texts(key_value) if published else {}
    )
    try:
        _check(folder, published_texts)
    except SettingsError as error:
        if not json:
            raise
        raise CheckReportError(error.faults) from error
    return render_json([]) if json else 'no fault'


class CheckReportError(SettingsError):
    """Faults that are reported as JSON."""

    def __str__(self) -> str:
        """Return the faults as JSON."""
        return render_json(list[Fault](self.faults))


def _check(folder: Path, published_texts: dict[str, str]) -> None:
    own = {source.name: source.text for source in read_folder(folder)}
    texts = published_texts | own
    merge_files(SourceFile(name, text) for name, text in texts.items())


async def _read_published_texts(key_value: str | None) -> dict[str, str]:
    release = await read_release(key_value)
    return {listed.name: listed.text for listed in release.files}
