"""Guarantees of the run-once protocol in every reachable state.

A call must not run twice, must not run after "not run" was reported, and must
not be answered for another request. Two attempts under one key are explored
in any order of messages with up to three faults: duplicated messages, refused
connections, crashes, and state removed because of its age.
"""

import pytest

from baobabhinge_coordination.runonce.tests.exploration import explore
from baobabhinge_coordination.runonce.tests.mutations import MUTATIONS
from baobabhinge_coordination.runonce.tests.scenarios import (
    GuaranteeViolatedError,
    Scenario,
)

SAME = ('a', 'a')
DIFFERENT = ('a', 'b')
QUERY = ('a', '')
WITH_WITNESS = True
NO_WITNESS = False


@pytest.mark.parametrize(
    ('digests', 'has_witness', 'faults', 'reasons'),
    [
        (
            SAME,
            WITH_WITNESS,
            2,
            {'served', 'sealed', 'witness-silent', 'in-doubt'},
        ),
        (
            DIFFERENT,
            WITH_WITNESS,
            1,
            {'served', 'other-request', 'witness-lost'},
        ),
        (QUERY, WITH_WITNESS, 1, {'served', 'closed', 'expired'}),
        (SAME, NO_WITNESS, 3, {'served', 'owner-lost', 'expired'}),
        (DIFFERENT, NO_WITNESS, 3, {'served', 'other-request'}),
        (QUERY, NO_WITNESS, 3, {'served', 'closed'}),
    ],
)
def test_every_reachable_state_keeps_the_guarantees(
    digests, has_witness, faults, reasons
):
    result = explore(Scenario(digests, has_witness, faults))
    assert reasons <= set(result.reasons)


@pytest.mark.parametrize(
    ('name', 'digests', 'has_witness'),
    [
        ('dispatch_without_intent', SAME, WITH_WITNESS),
        ('dispatch_although_sealed', SAME, WITH_WITNESS),
        ('dispatch_although_refused', SAME, WITH_WITNESS),
        ('dispatch_without_a_verdict', SAME, WITH_WITNESS),
        ('dispatch_on_a_late_verdict', SAME, WITH_WITNESS),
        ('run_a_retry_again', SAME, NO_WITNESS),
        ('run_and_record_a_retry_again', SAME, WITH_WITNESS),
        ('skip_digest_comparison_at_the_owner', DIFFERENT, WITH_WITNESS),
        ('skip_digest_comparison_at_the_witness', DIFFERENT, WITH_WITNESS),
        ('run_an_expired_key_again', SAME, NO_WITNESS),
        ('remove_a_key_before_it_is_refused', SAME, NO_WITNESS),
        ('run_keys_of_an_older_incarnation', SAME, NO_WITNESS),
        (
            'report_not_run_for_an_unused_key_without_closing_it',
            QUERY,
            WITH_WITNESS,
        ),
        ('report_not_run_after_a_lost_answer', SAME, WITH_WITNESS),
        ('try_another_server_after_a_broken_exchange', SAME, WITH_WITNESS),
        ('report_not_run_without_sealing', SAME, WITH_WITNESS),
        ('record_an_intent_after_the_seal', SAME, WITH_WITNESS),
        ('report_not_run_for_an_unknown_epoch', SAME, WITH_WITNESS),
        ('record_an_intent_of_an_unknown_epoch', SAME, WITH_WITNESS),
        ('accept_keys_of_an_older_witness', SAME, WITH_WITNESS),
        ('report_not_run_for_an_intent_in_doubt', SAME, WITH_WITNESS),
        ('give_an_epoch_number_again', SAME, WITH_WITNESS),
        ('remove_intents_before_their_epoch', SAME, WITH_WITNESS),
        ('report_not_run_without_any_answer', SAME, NO_WITNESS),
    ],
)
def test_removing_a_guard_violates_a_guarantee(
    monkeypatch, name, digests, has_witness
):
    MUTATIONS[name](monkeypatch)
    with pytest.raises(GuaranteeViolatedError):
        explore(Scenario(digests, has_witness, faults=1))


def test_every_mutation_is_covered():
    covered = test_removing_a_guard_violates_a_guarantee.pytestmark[0].args[1]
    assert {row[0] for row in covered} == set(MUTATIONS)
