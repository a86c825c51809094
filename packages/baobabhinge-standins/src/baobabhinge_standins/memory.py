"""Memory of processes that run on this machine."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path

import psutil

HEXADECIMAL = 16
CHECK_INTERVAL = timedelta(milliseconds=1)
STILL = frozenset((psutil.STATUS_STOPPED, psutil.STATUS_ZOMBIE))


def read_memory(pid: int) -> list[bytes]:
    """Return the writable memory of a process.

    The process is stopped meanwhile and runs on afterwards: an area that it
    gives back could not be read.

    Parameters
    ----------
    pid : int
        Identifier of the process.
    """
    with _hold_still(psutil.Process(pid)):
        with Path(f'/proc/{pid}/mem').open('rb', buffering=0) as memory:
            pieces = []
            for first, last in _list_writable(pid):
                memory.seek(first)
                pieces.append(memory.read(last - first))
    return pieces


@contextmanager
def _hold_still(process: psutil.Process) -> Iterator[None]:
    process.suspend()
    while process.status() not in STILL:
        time.sleep(CHECK_INTERVAL.total_seconds())
    try:
        yield
    finally:
        process.resume()


def _list_writable(pid: int) -> Iterator[tuple[int, int]]:
    for line in Path(f'/proc/{pid}/maps').read_text().splitlines():
        span, rights, *_ = line.split()
        if rights.startswith('rw'):
            first, _, last = span.partition('-')
            yield int(first, HEXADECIMAL), int(last, HEXADECIMAL)
