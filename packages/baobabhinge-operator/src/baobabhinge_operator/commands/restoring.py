"""Command that publishes again after the key-value service lost data."""

from collections.abc import Mapping
from pathlib import Path

from baobabhinge_coordination.generations import (
    AuditReader,
    FileChange,
    Manifest,
    map_digests,
)
from baobabhinge_operator.commands.publication import (
    build_request,
    convert_store_errors,
    publish_request,
)
from baobabhinge_operator.connections import open_store
from baobabhinge_settings import read_folder


async def restore(
    folder: Path,
    *,
    above: int,
    key_value: str | None = None,
) -> str:
    """Publish a folder in place of an older copy, above a generation.

    For a key-value service that came back empty or from an older copy: the
    gateways go on with the newest generation that they have seen and ignore
    lower ones, so the next one has to be above it (see ``status``).

    Exit codes: as for ``publish``.

    Parameters
    ----------
    folder
        Folder with every file that is to be in force.
    above
        Highest generation that a gateway has.
    key_value
        Address of the key-value service.
    """
    files = {source.name: source.text for source in read_folder(folder)}
    async with open_store(key_value) as store:
        with convert_store_errors():
            manifest = await AuditReader(store).read_manifest()
            changes = _replace_all(manifest, files)
            request = build_request(changes, above=above)
            return await publish_request(store, request)


def _replace_all(
    manifest: Manifest,
    texts: Mapping[str, str],
) -> list[FileChange]:
    digests = map_digests(manifest)
    return [
        FileChange(name, digests.get(name, ''), texts.get(name))
        for name in sorted({*texts, *digests})
    ]
