"""A short soak with a fixed seed."""

from datetime import timedelta

import pytest

from baobabhinge_standins.soak.invariants import find_violations
from baobabhinge_standins.soak.running import run_soak
from baobabhinge_standins.traffic import Verdict

SPAN = timedelta(seconds=8)


@pytest.mark.parametrize('seed', [4])
async def test_invariants_hold(seed, tmp_path):
    evidence = await run_soak(seed, SPAN, tmp_path)
    assert find_violations(evidence) == []
    outcomes = [record.outcome for record in evidence.records]
    assert Verdict.answered in outcomes
