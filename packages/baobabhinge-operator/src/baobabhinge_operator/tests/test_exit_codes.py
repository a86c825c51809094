"""The page of error codes must list exactly the codes that exist."""

import re
from pathlib import Path

from baobabhinge_operator.exit_codes import FAILURES
from baobabhinge_settings import FaultCode

PAGE = 'docs/errors-settings.md'


def read_rows():
    root = next(
        folder for folder in Path(__file__).parents if (folder / PAGE).is_file()
    )
    faults, _, failures = (root / PAGE).read_text().partition('## Ends')
    return (
        re.findall('^. `([a-z0-9-]+)` .', faults, re.MULTILINE),
        re.findall(r'^. `([a-z-]+)` \| (\d) .', failures, re.MULTILINE),
    )


def test_each_fault_code_is_listed():
    faults, _ = read_rows()
    assert faults == sorted(FaultCode)


def test_each_failure_is_listed_with_its_exit_code():
    _, failures = read_rows()
    assert failures == [
        (failure.code, str(int(failure.exit_code))) for failure in FAILURES
    ]
