"""Schedules come from the seed alone."""

from datetime import timedelta
from random import Random

import pytest

from baobabhinge_standins.soak.faults import list_kinds
from baobabhinge_standins.soak.schedule import TargetKind, draw_schedule

TARGETS = {kind: [f'{kind}-1', f'{kind}-2'] for kind in TargetKind}
SPAN = timedelta(minutes=30)


def draw(seed):
    return draw_schedule(Random(seed), list_kinds(), TARGETS, SPAN)


@pytest.mark.parametrize('seed', [0, 1, 99])
def test_schedule_repeats_with_its_seed(seed):
    rounds = draw(seed)
    assert rounds == draw(seed)
    assert rounds != draw(seed + 1)
    assert sum((one.lasts + one.pause for one in rounds), timedelta()) >= SPAN
    for one in rounds:
        names = {fault.name for fault in one.faults}
        assert len(names) == 2
        for fault in one.faults:
            assert fault.target in TARGETS[list_kinds()[fault.name]]


def test_every_fault_comes_up():
    drawn = {fault.name for one in draw(1) for fault in one.faults}
    assert drawn == set(list_kinds())
