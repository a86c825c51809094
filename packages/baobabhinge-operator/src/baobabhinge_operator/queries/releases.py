"""Commands that show the published release and the audit trail."""

from collections.abc import Iterable

from baobabhinge_coordination.generations import (
    AuditedFile,
    AuditReader,
    AuditRecord,
)
from baobabhinge_operator.connections import (
    open_store,
    read_release,
    render_json,
)

DEFAULT_RECORD_COUNT = 20
DIGEST_PREFIX_DIGITS = 12
ABSENT = 'none'


async def show(
    *,
    json: bool = False,
    key_value: str | None = None,
) -> str:
    """Show the files that run.

    Exit codes: 0 done, 1 nothing is published, 2 wrong usage, 4 the key-value
    service does not answer.

    Parameters
    ----------
    json
        Write JSON.
    key_value
        Address of the key-value service.
    """
    release = await read_release(key_value)
    if json:
        return render_json(release)
    parts = [f'; {part.name}\n{part.text}' for part in release.files]
    return '\n'.join((f'; generation {release.generation}', *parts))


async def history(
    *,
    last: int = DEFAULT_RECORD_COUNT,
    json: bool = False,
    key_value: str | None = None,
) -> str:
    """Show who changed which file when, the newest change first.

    Exit codes: 0 done, 2 wrong usage, 4 the key-value service does not answer.

    Parameters
    ----------
    last
        Largest number of changes to show.
    json
        Write JSON.
    key_value
        Address of the key-value service.
    """
    async with open_store(key_value) as store:
        records = await AuditReader(store).read_last(last)
    if json:
        return render_json(records)
    return '\n'.join(_render_records(records))


def _render_records(records: Iterable[AuditRecord]) -> Iterable[str]:
    for record in records:
        instant = record.instant.isoformat(timespec='seconds')
        numbers = f'{record.from_generation} to {record.to_generation}'
        yield f'generation {numbers}, {instant}, {record.author}'
        yield from map(_render_file, record.files)


def _render_file(audited: AuditedFile) -> str:
    before = audited.before[:DIGEST_PREFIX_DIGITS] or ABSENT
    after = audited.after[:DIGEST_PREFIX_DIGITS] or ABSENT
    return f'  {audited.name}: {before} to {after}'
