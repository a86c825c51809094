import pytest

from baobabhinge_coordination.runonce.tests.exploration import explore
from baobabhinge_coordination.runonce.tests.mutations import MUTATIONS
from baobabhinge_coordination.runonce.tests.scenarios import (
    GuaranteeViolatedError,
    Scenario,
)

SAME = ('a', 'a')
OTHER = ('a', 'b')
QUERY = ('a', '')
WITH = True
ALONE = False


@pytest.mark.parametrize(
    ('digests', 'has_witness', 'faults', 'reasons'),
    [
        (SAME, WITH, 2, {'served', 'sealed', 'witness-silent', 'in-doubt'}),
        (OTHER, WITH, 1, {'served', 'other-request', 'witness-lost'}),
        (QUERY, WITH, 1, {'served', 'closed', 'expired'}),
        (SAME, ALONE, 3, {'served', 'owner-lost', 'expired'}),
        (OTHER, ALONE, 3, {'served', 'other-request'}),
        (QUERY, ALONE, 3, {'served', 'closed'}),
    ],
)
def test_every_state_keeps_the_promises(digests, has_witness, faults, reasons):
    census = explore(Scenario(digests, has_witness, faults))
    assert reasons <= set(census.reasons)


@pytest.mark.parametrize(
    ('name', 'digests', 'has_witness'),
    [
        ('dispatch_without_intent', SAME, WITH),
        ('dispatch_although_sealed', SAME, WITH),
        ('dispatch_although_refused', SAME, WITH),
        ('dispatch_although_silent', SAME, WITH),
        ('dispatch_on_a_late_verdict', SAME, WITH),
        ('run_a_repeat_afresh', SAME, ALONE),
        ('run_a_repeat_afresh_and_record_it_again', SAME, WITH),
        ('compare_no_digest_at_the_owner', OTHER, WITH),
        ('compare_no_digest_at_the_witness', OTHER, WITH),
        ('run_an_expired_key_afresh', SAME, ALONE),
        ('forget_a_key_before_it_is_refused', SAME, ALONE),
        ('run_keys_of_an_older_incarnation', SAME, ALONE),
        ('tell_not_run_of_an_unused_key_without_closing_it', QUERY, WITH),
        ('tell_not_run_when_the_answer_is_lost', SAME, WITH),
        ('try_another_server_after_a_broken_exchange', SAME, WITH),
        ('tell_not_run_without_sealing', SAME, WITH),
        ('record_an_intent_after_the_seal', SAME, WITH),
        ('tell_not_run_for_an_unknown_epoch', SAME, WITH),
        ('record_an_intent_of_an_unknown_epoch', SAME, WITH),
        ('witness_for_an_older_incarnation', SAME, WITH),
        ('tell_not_run_of_an_intent_in_doubt', SAME, WITH),
        ('give_an_epoch_number_again', SAME, WITH),
        ('forget_intents_before_their_epoch', SAME, WITH),
        ('tell_not_run_on_silence', SAME, ALONE),
    ],
)
def test_each_guard_is_needed(monkeypatch, name, digests, has_witness):
    MUTATIONS[name](monkeypatch)
    with pytest.raises(GuaranteeViolatedError):
        explore(Scenario(digests, has_witness, faults=1))


def test_every_mutation_is_tried():
    tried = test_each_guard_is_needed.pytestmark[0].args[1]
    assert {row[0] for row in tried} == set(MUTATIONS)
