"""Load reports of the backend servers of this region, and their age."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_platform.machines import Vm

REPORT_LIFETIME = timedelta(seconds=30)
NOT_MEASURED = timedelta()


class LoadReport(msgspec.Struct, frozen=True):
    """Load of one backend server.

    Parameters
    ----------
    running, waiting : int
        Numbers of running and of queued requests.
    slots : int
        Number of requests that it can run at once.
    draining : bool
        Whether it accepts no new work.
    age : timedelta
        Time since the load was measured.
    models : frozenset of bytes
        Digests of the names of the models that it can run: each name with
        its version, alone and with each of its adapters.
    """

    running: int
    waiting: int
    slots: int
    draining: bool
    age: timedelta
    models: frozenset[bytes] = frozenset()


class LoadReports:
    """Newest load report of each vm, until it exceeds `REPORT_LIFETIME`.

    Parameters
    ----------
    clock : Clock
        Clock by which the age of reports is measured.
    """

    __slots__ = ('_clock', '_measured', '_reports', '_send_counts')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, LoadReport] = {}
        self._measured: dict[str, timedelta] = {}
        self._send_counts: dict[str, int] = {}

    def find(self, vm: Vm) -> LoadReport | None:
        """Return the report of ``vm`` with its current age.

        None if there is no report or it exceeds `REPORT_LIFETIME`.
        """
        report = self._reports.get(vm.name)
        if report is None:
            return None
        age = self._clock.read_monotonic() - self._measured[vm.name]
        if age > REPORT_LIFETIME:
            return None
        return msgspec.structs.replace(report, age=age)

    def has_model(self, vm: Vm, digest: bytes) -> bool:
        """Return whether the newest report of ``vm`` names a loaded model.

        The report counts here even past its lifetime, because an engine
        itself refuses calls for a model that it has unloaded since.
        """
        report = self._reports.get(vm.name)
        return report is not None and digest in report.models

    def put(self, vm_name: str, report: LoadReport) -> bool:
        """Store ``report`` if it was measured later than the stored one.

        Returns
        -------
        bool
            Whether it was stored.
        """
        measured = self._clock.read_monotonic() - report.age
        if vm_name in self._measured and self._measured[vm_name] >= measured:
            return False
        self._measured[vm_name] = measured
        self._reports[vm_name] = report
        self._send_counts[vm_name] = 0
        return True

    def compute_send_rank(self, vm: Vm) -> tuple[int, timedelta]:
        """Return the sort key for sending: fewest sends, then newest."""
        measured = self._measured.get(vm.name, NOT_MEASURED)
        return (self._send_counts.get(vm.name, 0), -measured)

    def find_for_sending(self, vm: Vm) -> LoadReport | None:
        """Return the report of ``vm`` and increment its send count."""
        report = self.find(vm)
        if report is not None:
            self._send_counts[vm.name] += 1
        return report

    def drop_unlisted(self, vm_names: frozenset[str]) -> None:
        """Drop the reports of vms that are not in ``vm_names``."""
        for name in self._reports.keys() - vm_names:
            self._reports.pop(name)
            self._measured.pop(name)
            self._send_counts.pop(name)
