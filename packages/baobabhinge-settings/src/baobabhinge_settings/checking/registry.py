"""Registry of the checks of a merged folder."""

from collections.abc import Callable, Iterator

from baobabhinge_settings.errors import Fault
from baobabhinge_settings.reading.merged_folder import MergedFolder

Check = Callable[[MergedFolder], Iterator[Fault]]
_checks: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check that reads a merged folder and yields faults."""
    _checks.append(check)
    return check


def find_faults(merged: MergedFolder) -> list[Fault]:
    """Run all checks and return their faults."""
    return [fault for check in _checks for fault in check(merged)]
