"""Run a soak."""

import sys
import tempfile
from collections import Counter
from datetime import timedelta
from pathlib import Path

import defopt

from baobabhinge_standins.output import show_line
from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.soak.evidence import Evidence
from baobabhinge_standins.soak.invariants import find_violations
from baobabhinge_standins.soak.running import run_soak
from baobabhinge_standins.stopping import run_until_stopped

EXIT_STOPPED = 130


def main(*, seed: int, minutes: float = 1) -> None:
    """Bring faults about, two at a time, and check what must always hold.

    Exit codes: 0 if every invariant held, 1 if not, 130 if it was stopped.

    Parameters
    ----------
    seed
        Seed of the faults and of the load.
    minutes
        How long faults are brought about, in minutes.
    """
    span = timedelta(minutes=minutes)
    with tempfile.TemporaryDirectory() as folder:
        evidence = run_until_stopped(run_soak(seed, span, Path(folder)))
    if evidence is None:
        show_line('stopped')
        sys.exit(EXIT_STOPPED)
    sys.exit(_report(evidence))


def _describe(record: CallRecord) -> str:
    kind = record.request.kind
    return f'{kind} {record.outcome}'


def _report(evidence: Evidence) -> int:
    counted = Counter(map(_describe, evidence.records))
    for name, number in sorted(counted.items()):
        show_line(f'{name}: {number}')
    violations = find_violations(evidence)
    for violation in violations:
        show_line(f'violated: {violation.invariant}: {violation.subject}')
    if not violations:
        show_line('every invariant held')
    return 1 if violations else 0


if __name__ == '__main__':
    defopt.run(main)
