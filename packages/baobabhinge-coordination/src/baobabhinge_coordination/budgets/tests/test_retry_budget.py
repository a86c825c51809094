import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.budgets import RetryBudget

STEPS = st.lists(st.sampled_from(['deposit', 'withdraw']), max_size=200)


@given(steps=STEPS, retry_fraction=st.sampled_from([0.125, 0.5]))
def test_retries_stay_below_the_fraction_of_first_attempts(
    steps, retry_fraction
):
    budget = RetryBudget(retry_fraction=retry_fraction, burst=2)
    first_attempts = 0
    retries = 0
    for step in steps:
        if step == 'deposit':
            budget.deposit('engine')
            first_attempts += 1
        else:
            retries += budget.withdraw('engine')
        assert retries <= 2 + retry_fraction * first_attempts


@pytest.mark.parametrize(
    ('spent', 'requested', 'allowed'),
    [('engine', 'engine', False), ('engine', 'peer', True)],
)
def test_each_kind_has_its_own_budget(spent, requested, allowed):
    budget = RetryBudget(retry_fraction=0, burst=1)
    assert budget.withdraw(spent)
    assert budget.withdraw(requested) is allowed
