"""Load reports of the backend servers of this region, with their age."""

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
        Requests being run, and requests queued behind them.
    slots : int
        Requests that it can run at once.
    draining : bool
        Whether it takes no new work.
    age : timedelta
        Time since the load was measured.
    models : frozenset of bytes
        Digests of the names of the models that it can run, each with its
        version, and with each of its adapters.
    """

    running: int
    waiting: int
    slots: int
    draining: bool
    age: timedelta
    models: frozenset[bytes] = frozenset()


class LoadReports:
    """Newest report by vm; a report past its lifetime is not offered.

    Parameters
    ----------
    clock : Clock
        Clock by which reports age.
    """

    __slots__ = ('_clock', '_measured', '_reports', '_told')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, LoadReport] = {}
        self._measured: dict[str, timedelta] = {}
        self._told: dict[str, int] = {}

    def find(self, vm: Vm) -> LoadReport | None:
        """Return the report of ``vm`` with its present age."""
        report = self._reports.get(vm.name)
        if report is None:
            return None
        age = self._clock.read_monotonic() - self._measured[vm.name]
        if age > REPORT_LIFETIME:
            return None
        return msgspec.structs.replace(report, age=age)

    def has_model(self, vm: Vm, digest: bytes) -> bool:
        """Tell whether ``vm`` said last that it has loaded a model.

        What is loaded outlives the report: the engine itself refuses what it
        has unloaded since.
        """
        report = self._reports.get(vm.name)
        return report is not None and digest in report.models

    def put(self, vm_name: str, report: LoadReport) -> bool:
        """Keep ``report`` if it was measured later than the kept one."""
        measured = self._clock.read_monotonic() - report.age
        if vm_name in self._measured and self._measured[vm_name] >= measured:
            return False
        self._measured[vm_name] = measured
        self._reports[vm_name] = report
        self._told[vm_name] = 0
        return True

    def rank(self, vm: Vm) -> tuple[int, timedelta]:
        """Return what orders reports for spreading, the first one first."""
        measured = self._measured.get(vm.name, NOT_MEASURED)
        return (self._told.get(vm.name, 0), -measured)

    def find_for_sending(self, vm: Vm) -> LoadReport | None:
        """Return the report of ``vm`` and count it as told."""
        report = self.find(vm)
        if report is not None:
            self._told[vm.name] += 1
        return report

    def drop_unlisted(self, vm_names: frozenset[str]) -> None:
        """Drop the reports of vms that are not in ``vm_names``."""
        for name in self._reports.keys() - vm_names:
            self._reports.pop(name)
            self._measured.pop(name)
            self._told.pop(name)
