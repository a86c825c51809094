"""Searching for bound text outside its region."""

from collections.abc import Iterator
from pathlib import Path

from baobabhinge_standins.fleet import Deployment
from baobabhinge_standins.soak.script import mark_bound

HEXADECIMAL = 16
PLATFORM_NAMES = ('keyvalue', 'lists')


def find_strays(deployment: Deployment, folder: Path) -> Iterator[str]:
    """Yield the processes outside a region that hold text bound to it.

    Their memory, their logs and their journals are searched. The links see
    all traffic and are left out.
    """
    members = deployment.roster.list_all()
    for region in sorted({member.region for member in members}):
        mark = mark_bound(region).encode()
        outside = [one.name for one in members if one.region != region]
        for name in (*outside, *PLATFORM_NAMES):
            if _holds(deployment, folder, name, mark):
                yield f'{name} holds text bound to {region}'


def _holds(
    deployment: Deployment,
    folder: Path,
    name: str,
    mark: bytes,
) -> bool:
    pid = deployment.processes.get(name).process.pid
    files = [folder / f'{name}.log', folder / f'{name}.journal']
    if any(mark in path.read_bytes() for path in files if path.exists()):
        return True
    return any(mark in piece for piece in _read_memory(pid))


def _read_memory(pid: int) -> Iterator[bytes]:
    with Path(f'/proc/{pid}/mem').open('rb', buffering=0) as memory:
        for first, last in _list_writable(pid):
            memory.seek(first)
            yield memory.read(last - first)


def _list_writable(pid: int) -> Iterator[tuple[int, int]]:
    for line in Path(f'/proc/{pid}/maps').read_text().splitlines():
        span, rights, *_ = line.split()
        if rights.startswith('rw'):
            first, _, last = span.partition('-')
            yield int(first, HEXADECIMAL), int(last, HEXADECIMAL)
