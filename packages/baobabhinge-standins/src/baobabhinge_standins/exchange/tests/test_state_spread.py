"""State that gateways fetch from each other over links of 10 Mbit/s.

Guards against lists and configurations that fill the links of the few gateways
which have them: all others, and the callers of these few, wait for them.
"""

from datetime import timedelta

import pytest
import structlog

from baobabhinge_standins.exchange.measuring import play
from baobabhinge_standins.exchange.scenarios import SCENARIOS
from baobabhinge_standins.exchange.virtual_time import run_virtually

MEGABITS = 10
GATEWAYS_OF_A_REGION = 65
# Of the 6 s after which a request may not reach a server, half a second is for
# the change on its way to the first gateway, 2.5 s for a retention.
LONGEST_SPREAD = timedelta(milliseconds=1500)
LONGEST_WAIT = timedelta(milliseconds=500)
ERROR = 40


@pytest.fixture(autouse=True)
def _only_errors():
    """Each gateway logs each fetch."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(ERROR)
    )
    yield
    structlog.reset_defaults()


@pytest.mark.parametrize('scenario', sorted(SCENARIOS))
def test_no_gateway_of_a_large_region_learns_of_a_change_late(scenario):
    counts = {'fukuoka': GATEWAYS_OF_A_REGION}
    shown = run_virtually(play(scenario, counts, MEGABITS, seed=1))
    assert shown.latest.last <= LONGEST_SPREAD, shown.describe()
    assert shown.failed_fetches == 0, shown.describe()
    assert shown.longest_wait <= LONGEST_WAIT, shown.describe()
