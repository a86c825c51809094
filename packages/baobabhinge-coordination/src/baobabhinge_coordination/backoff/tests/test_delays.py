import random
from datetime import timedelta

from baobabhinge_coordination.backoff import Backoff

SEED = 51


def test_pauses_grow_to_a_bound_and_begin_again_after_a_success():
    max_bound = timedelta(seconds=30)
    backoff = Backoff(random.Random(SEED), timedelta(seconds=1), max_bound)
    pauses = [backoff.draw_delay() for _ in range(200)]
    assert timedelta(seconds=20) < max(pauses) < max_bound
    backoff.reset()
    assert backoff.draw_delay() < timedelta(seconds=1)


def test_callers_that_failed_together_come_back_spread_out():
    pauses = []
    for caller in range(1000):
        backoff = Backoff(random.Random(f'{SEED}/{caller}'))
        for _ in range(10):
            pause = backoff.draw_delay()
        pauses.append(int(pause.total_seconds()))
    assert max(map(pauses.count, range(30))) < 60
