"""Command that drains a vm."""

import difflib
from collections.abc import Iterable
from contextlib import suppress

from baobabhinge_coordination.generations import (
    FileChange,
    PublishConflictError,
    PublishRacedError,
    ReleaseReader,
    compute_digest,
)
from baobabhinge_coordination.store import KeyValueStore
from baobabhinge_operator.commands.publication import (
    build_request,
    convert_store_errors,
    publish_request,
)
from baobabhinge_operator.connections import open_store, read_vm_names
from baobabhinge_operator.errors import UnknownVmError, VmNameError
from baobabhinge_settings.drains import (
    DRAINS_FILE,
    list_drained,
    render_drains,
)
from baobabhinge_settings.errors import FieldError
from baobabhinge_settings.schema.names import parse_name

MAX_ATTEMPTS = 10


async def drain(
    vm: str,
    *,
    undo: bool = False,
    key_value: str | None = None,
    vm_list: str | None = None,
) -> str:
    """Let a vm get no new work; what it runs now is finished.

    The change is written to the published file 90-drains.ini, so it is in
    force in every region like any other change, and ``history`` shows it.

    A vm that the platform's list of vms does not have is refused, unless it
    is drained already.

    Exit codes: as for ``publish``, also 1 no such vm, 4 the list of vms does
    not answer and nothing was changed.

    Parameters
    ----------
    vm
        Name of the vm: a gateway or a backend server.
    undo
        Let the vm get new work again.
    key_value
        Address of the key-value service.
    vm_list
        Address of the platform's list of vms.
    """
    _check_name(vm)
    async with open_store(key_value) as store:
        with convert_store_errors():
            text = await _read_drains(store)
        if vm not in list_drained(text):
            _require_listed(vm, await read_vm_names(vm_list))
        for _ in range(MAX_ATTEMPTS):
            with convert_store_errors(), suppress(PublishConflictError):
                return await _change_drains(store, vm, undo=undo)
    raise PublishRacedError


async def _change_drains(
    store: KeyValueStore,
    vm: str,
    *,
    undo: bool,
) -> str:
    text = await _read_drains(store)
    drained = list_drained(text) - {vm}
    if not undo:
        drained |= {vm}
    request = build_request([_build_drains_change(text, drained)])
    return await publish_request(store, request)


def _build_drains_change(text: str, drained: Iterable[str]) -> FileChange:
    digest_before = compute_digest(text) if text else ''
    return FileChange(DRAINS_FILE, digest_before, render_drains(drained))


async def _read_drains(store: KeyValueStore) -> str:
    release = await ReleaseReader(store).read_current()
    files = release.files if release else ()
    texts = (source.text for source in files if source.name == DRAINS_FILE)
    return next(texts, '')


def _require_listed(vm: str, listed: frozenset[str]) -> None:
    if vm in listed:
        return
    similar = difflib.get_close_matches(vm, sorted(listed))
    suggestions = ', '.join(similar) or 'none'
    raise UnknownVmError(
        f'"{vm}" is not in the list of vms, nothing was changed; names like'
        f' it in the list: {suggestions}',
    )


def _check_name(vm: str) -> None:
    try:
        parse_name(vm)
    except FieldError as error:
        raise VmNameError(error.message) from error
