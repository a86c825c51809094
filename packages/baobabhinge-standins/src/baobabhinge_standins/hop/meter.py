"""Processor time and memory of one process."""

import psutil

MILLISECONDS_PER_SECOND = 1000
BYTES_PER_KIB = 1024


class Meter:
    """Read what a process has used.

    Parameters
    ----------
    pid : int
        Identifier of the process.
    """

    __slots__ = ('_process',)

    def __init__(self, pid: int) -> None:
        """Find the process."""
        self._process = psutil.Process(pid)

    def read_processor(self) -> float:
        """Return the processor time so far, in milliseconds."""
        times = self._process.cpu_times()
        return float(times.user + times.system) * MILLISECONDS_PER_SECOND

    def read_memory(self) -> float:
        """Return the resident memory, in KiB."""
        return float(self._process.memory_info().rss) / BYTES_PER_KIB
