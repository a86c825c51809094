"""Command that compares a folder with the published files."""

import difflib
from collections.abc import Iterator
from pathlib import Path

import msgspec

from baobabhinge_operator.connections import read_release, render_json
from baobabhinge_settings import read_folder


class FileDifference(msgspec.Struct, frozen=True):
    """Difference between a published and a local file.

    Parameters
    ----------
    name : str
        Name of the file.
    published, local : str, optional
        Text of each; ``None`` if it is absent.
    """

    name: str
    published: str | None
    local: str | None

    def render(self) -> str:
        """Return the difference in the unified format."""
        if self.local is None:
            return f'only published: {self.name}\n'
        lines = difflib.unified_diff(
            (self.published or '').splitlines(keepends=True),
            self.local.splitlines(keepends=True),
            f'published/{self.name}',
            f'folder/{self.name}',
        )
        return ''.join(lines)


async def diff(
    folder: Path,
    *,
    json: bool = False,
    key_value: str | None = None,
) -> str:
    """Show how a folder differs from what runs.

    Exit codes: 0 done, 1 nothing is published, 2 wrong usage, 4 the key-value
    service does not answer.

    Parameters
    ----------
    folder
        Folder that holds the ``.ini`` files.
    json
        Write JSON.
    key_value
        Address of the key-value service.
    """
    local = {source.name: source.text for source in read_folder(folder)}
    release = await read_release(key_value)
    published = {listed.name: listed.text for listed in release.files}
    differences = list(_compare(published, local))
    if json:
        return render_json(differences)
    output = ''.join([difference.render() for difference in differences])
    return output or f'the same as generation {release.generation}'


def _compare(
    published: dict[str, str],
    local: dict[str, str],
) -> Iterator[FileDifference]:
    for name in sorted({*published, *local}):
        if published.get(name) != local.get(name):
            yield FileDifference(name, published.get(name), local.get(name))
