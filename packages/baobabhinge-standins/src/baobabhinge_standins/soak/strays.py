"""Searching for bound text outside its region."""

from collections.abc import Iterator
from pathlib import Path

from baobabhinge_standins.fleet import Deployment
from baobabhinge_standins.memory import read_memory
from baobabhinge_standins.soak.script import mark_bound

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
    return any(mark in piece for piece in read_memory(pid))
