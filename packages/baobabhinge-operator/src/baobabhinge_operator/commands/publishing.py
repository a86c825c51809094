"""Command that publishes a folder."""

from collections.abc import Iterable, Mapping
from pathlib import Path

from baobabhinge_coordination.generations import (
    AuditReader,
    FileChange,
    Manifest,
    Publication,
    PublishConflictError,
    PublishUnknownError,
    map_digests,
)
from baobabhinge_coordination.store import KeyValueStore, StoreError
from baobabhinge_operator.commands.publication import (
    build_request,
    convert_store_errors,
    describe_publication,
    publish_request,
)
from baobabhinge_operator.connections import open_store
from baobabhinge_operator.operator_settings import read_operator_settings
from baobabhinge_settings import read_folder

TextsByName = dict[str, str | None]


async def publish(
    folder: Path,
    *,
    delete: list[str] | None = None,
    base: int | None = None,
    publish_id: str | None = None,
    key_value: str | None = None,
) -> str:
    """Put the files of a folder in force, on top of what others published.

    Files that others published and that are not in the folder stay as they
    are. The merged whole is checked; a refused change changes nothing.

    Exit codes: 0 accepted, 1 refused with every fault, 2 wrong usage,
    3 someone else changed the same files, 4 the key-value service does not
    answer and nothing was changed, 5 it may have been accepted.

    Parameters
    ----------
    folder
        Folder that holds the ``.ini`` files.
    delete
        Names of published files to remove.
    base
        Generation that the folder was copied from; files that only others
        changed since then are left alone. Needed to change a file that
        someone else published last.
    publish_id
        Identifier of an earlier try that ended with exit code 5.
    key_value
        Address of the key-value service.
    """
    texts: TextsByName = {
        source.name: source.text for source in read_folder(folder)
    }
    texts.update(dict.fromkeys(delete or ()))
    async with open_store(key_value) as store:
        accepted = await _find_earlier_publication(store, publish_id)
        if accepted is not None:
            return describe_publication(accepted)
        with convert_store_errors():
            changes = await _list_changes(store, texts, base)
            request = build_request(changes, publish_id)
            return await publish_request(store, request)


async def _find_earlier_publication(
    store: KeyValueStore,
    publish_id: str | None,
) -> Publication | None:
    """Return the publication of an earlier attempt, ``None`` if there is none.

    Raises
    ------
    PublishUnknownError
        If the key-value service can't be read.
    """
    if publish_id is None:
        return None
    try:
        manifest = await AuditReader(store).read_manifest()
    except StoreError as error:
        raise PublishUnknownError(publish_id) from error
    return manifest.find_publication(publish_id)


async def _list_changes(
    store: KeyValueStore,
    texts: TextsByName,
    base: int | None,
) -> list[FileChange]:
    reader = AuditReader(store)
    if base is not None:
        return _compare(texts, await reader.read_digests(base))
    manifest = await reader.read_manifest()
    changes = _compare(texts, map_digests(manifest))
    _check_authors(manifest, changes)
    return changes


def _compare(
    texts: TextsByName, digests: Mapping[str, str]
) -> list[FileChange]:
    changes = [
        FileChange(name, digests.get(name, ''), text)
        for name, text in texts.items()
    ]
    return [change for change in changes if change.after != change.before]


def _check_authors(manifest: Manifest, changes: Iterable[FileChange]) -> None:
    own_name = read_operator_settings().publisher
    author_by_file = {listed.name: listed.author for listed in manifest.files}
    changed_by_others = [
        change.name
        for change in changes
        if author_by_file.get(change.name, own_name) != own_name
    ]
    if changed_by_others:
        raise PublishConflictError(changed_by_others, manifest.generation)
