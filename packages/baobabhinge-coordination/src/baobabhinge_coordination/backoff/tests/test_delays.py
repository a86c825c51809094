import random
from datetime import timedelta

from baobabhinge_coordination.backoff import Backoff

SEED = 51


def test_delays_grow_to_a_bound_and_restart_after_a_success():
    max_bound = timedelta(seconds=30)
    backoff = Backoff(random.Random(SEED), timedelta(seconds=1), max_bound)
    delays = [backoff.draw_delay() for _ in range(200)]
    assert timedelta(seconds=20) < max(delays) < max_bound
    backoff.reset()
    assert backoff.draw_delay() < timedelta(seconds=1)


def test_callers_that_failed_together_retry_spread_out():
    delays = []
    for caller in range(1000):
        backoff = Backoff(random.Random(f'{SEED}/{caller}'))
        for _ in range(10):
            delay = backoff.draw_delay()
        delays.append(int(delay.total_seconds()))
    assert max(map(delays.count, range(30))) < 60
