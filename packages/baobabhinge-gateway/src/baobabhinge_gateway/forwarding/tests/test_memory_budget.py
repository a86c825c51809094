"""Shares of senders in the memory of a process.

Guards against one sender, or a few, that take all memory from the others.
"""

from itertools import count, takewhile

import pytest
from hypothesis import given
from hypothesis import strategies as some

from baobabhinge_gateway.forwarding.memory_budget import (
    BUDGET_FRACTION,
    COPIES,
    AnswerMemoryError,
    BodyMemoryError,
    MemoryBudget,
)

MEMORY = 3_000_000
LIMIT = int(MEMORY * BUDGET_FRACTION)
STEP = 1000


def fill(budget, sender):
    taken = takewhile(bool, (budget.take(sender, STEP) for _ in count()))
    return STEP * len(list(taken))


@pytest.mark.parametrize('senders', [1, 2, 5])
def test_senders_without_end_leave_a_share_to_others(senders):
    budget = MemoryBudget(MEMORY)
    held = sum(fill(budget, f'endless-{number}') for number in range(senders))
    # Each goes on where another one has given something back.
    held += sum(fill(budget, f'endless-{number}') for number in range(senders))
    left = LIMIT - held
    assert left > 0
    assert budget.take('sound', left // 2)


def test_what_is_given_back_can_be_taken_again():
    budget = MemoryBudget(MEMORY)
    for _ in range(3):
        with budget.open_use() as use:
            use.add_answer('one', LIMIT // COPIES // 2)
            with pytest.raises(AnswerMemoryError):
                use.add_answer('one', STEP)
            with pytest.raises(BodyMemoryError):
                use.add_body('one', STEP)
    assert budget.take('one', LIMIT // 2)


@given(
    some.lists(
        some.tuples(some.sampled_from('abc'), some.integers(1, LIMIT // 4)),
        max_size=30,
    )
)
def test_the_sum_never_exceeds_the_budget(taken):
    budget = MemoryBudget(MEMORY)
    held = []
    for sender, length in taken:
        if budget.take(sender, length):
            held.append((sender, length))
        assert sum(length for _, length in held) < LIMIT
    for sender, length in held:
        budget.give_back(sender, length)
    assert budget.take('a', LIMIT // 2)
