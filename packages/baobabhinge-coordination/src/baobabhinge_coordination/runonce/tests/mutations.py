"""Mutations of the protocol, each of which removes one guard."""

from baobabhinge_coordination import runonce
from baobabhinge_coordination.runonce import owner as owner_module
from baobabhinge_coordination.runonce import witness as witness_module
from baobabhinge_coordination.runonce.epochs import Epoch, EpochTable
from baobabhinge_coordination.runonce.messages import IntentVerdict
from baobabhinge_coordination.runonce.outcomes import (
    OutcomeReason,
    build_not_run_outcome,
)
from baobabhinge_coordination.runonce.owner import (
    Owner,
    OwnerAction,
    OwnerInstruction,
)
from baobabhinge_coordination.runonce.owner_table import (
    KeyStep,
    OwnerEntry,
    OwnerTable,
)
from baobabhinge_coordination.runonce.witness import Witness

NOT_RUN = build_not_run_outcome(OutcomeReason.sealed)
MUTATIONS = {}


def mutate(change):
    """Register a mutation under the name of its function."""
    MUTATIONS[change.__name__] = change
    return change


def _treat_as_recorded(patch, verdict):
    resolve = Owner.resolve_intent

    def changed(instance, key, received):
        recorded = IntentVerdict.recorded
        return resolve(
            instance, key, recorded if received is verdict else received
        )

    patch.setattr(Owner, 'resolve_intent', changed)


@mutate
def dispatch_without_intent(patch):
    begin = Owner.begin

    def changed(instance, key, digest):
        instruction = begin(instance, key, digest)
        if instruction.action is OwnerAction.record:
            instance.entries.put(key, OwnerEntry(KeyStep.dispatched, digest))
            return OwnerInstruction(OwnerAction.dispatch)
        return instruction

    patch.setattr(Owner, 'begin', changed)


@mutate
def dispatch_although_sealed(patch):
    _treat_as_recorded(patch, IntentVerdict.sealed)


@mutate
def dispatch_although_refused(patch):
    _treat_as_recorded(patch, IntentVerdict.refused)


@mutate
def dispatch_without_a_verdict(patch):
    _treat_as_recorded(patch, None)


@mutate
def dispatch_on_a_late_verdict(patch):
    resolve = Owner.resolve_intent

    def changed(instance, key, verdict):
        entry = instance.entries.find(key)
        if entry is not None and verdict is IntentVerdict.recorded:
            instance.entries.put(
                key, OwnerEntry(KeyStep.dispatched, entry.digest)
            )
            return OwnerInstruction(OwnerAction.dispatch)
        return resolve(instance, key, verdict)

    patch.setattr(Owner, 'resolve_intent', changed)


@mutate
def run_a_retry_again(patch):
    begin = Owner.begin

    def changed(instance, key, digest):
        instance.entries._entries.pop(key, None)
        return begin(instance, key, digest)

    patch.setattr(Owner, 'begin', changed)


@mutate
def run_and_record_a_retry_again(patch):
    run_a_retry_again(patch)
    patch.setattr(
        witness_module,
        '_choose_repeat_verdict',
        lambda entry: IntentVerdict.recorded,
    )


@mutate
def skip_digest_comparison_at_the_owner(patch):
    patch.setattr(
        owner_module,
        '_decide_retry',
        lambda entry, _: owner_module._decide_by_entry(entry),
    )


@mutate
def skip_digest_comparison_at_the_witness(patch):
    read_outcome = witness_module._read_outcome
    patch.setattr(
        witness_module,
        '_read_outcome',
        lambda entry, _: read_outcome(entry, ''),
    )


@mutate
def run_an_expired_key_again(patch):
    check_key = Owner._check_key

    def changed(instance, key):
        refusal = check_key(instance, key)
        expired = (
            refusal is not None and refusal.reason is OutcomeReason.expired
        )
        return None if expired else refusal

    patch.setattr(Owner, '_check_key', changed)


@mutate
def remove_a_key_before_it_is_refused(patch):
    patch.setattr(
        OwnerTable, 'drop_expired', lambda instance: instance._entries.clear()
    )
    patch.setattr(OwnerTable, 'is_expired', lambda instance, key: False)


@mutate
def run_keys_of_an_older_incarnation(patch):
    check_key = Owner._check_key

    def changed(instance, key):
        refusal = check_key(instance, key)
        lost = (
            refusal is not None and refusal.reason is OutcomeReason.owner_lost
        )
        return None if lost else refusal

    patch.setattr(Owner, '_check_key', changed)


@mutate
def report_not_run_for_an_unused_key_without_closing_it(patch):
    close = Owner.close

    def changed(instance, key):
        unused = instance.entries.find(key) is None
        instruction = close(instance, key)
        if unused:
            instance.entries._entries.pop(key, None)
        return instruction

    patch.setattr(Owner, 'close', changed)


@mutate
def report_not_run_after_a_lost_answer(patch):
    broken = runonce.DispatchFailure.broken
    patch.setitem(runonce.DISPATCH_FAILURE_OUTCOMES, broken, NOT_RUN)


@mutate
def try_another_server_after_a_broken_exchange(patch):
    patch.setattr(runonce, 'may_try_another_server', bool)


@mutate
def report_not_run_without_sealing(patch):
    seal = Witness.seal

    def changed(instance, message):
        outcome = seal(instance, message)
        if outcome is witness_module.SEALED:
            entries = instance.epochs._open_epochs[message.key.epoch].entries
            entries.pop(message.key, None)
        return outcome

    patch.setattr(Witness, 'seal', changed)


@mutate
def record_an_intent_after_the_seal(patch):
    patch.setattr(
        witness_module,
        '_choose_repeat_verdict',
        lambda entry: IntentVerdict.recorded,
    )


@mutate
def report_not_run_for_an_unknown_epoch(patch):
    patch.setattr(witness_module, 'WITNESS_LOST', NOT_RUN)


@mutate
def record_an_intent_of_an_unknown_epoch(patch):
    record = Witness.record_intent

    def changed(instance, message):
        if instance._holds_epoch(message.key):
            return record(instance, message)
        return IntentVerdict.recorded

    patch.setattr(Witness, 'record_intent', changed)


@mutate
def accept_keys_of_an_older_witness(patch):
    patch.setattr(
        Witness,
        '_holds_epoch',
        lambda instance, key: instance.epochs.is_open(key),
    )


@mutate
def report_not_run_for_an_intent_in_doubt(patch):
    patch.setattr(witness_module, 'IN_DOUBT', NOT_RUN)


@mutate
def give_an_epoch_number_again(patch):
    def changed(instance, owner):
        now = instance._clock.read_monotonic()
        instance._open_epochs.setdefault(1, Epoch(owner, now))
        return 1

    patch.setattr(EpochTable, 'open', changed)


@mutate
def remove_intents_before_their_epoch(patch):
    def changed(instance):
        for epoch in instance._open_epochs.values():
            epoch.entries.clear()

    patch.setattr(EpochTable, 'drop_expired', changed)


@mutate
def report_not_run_without_any_answer(patch):
    patch.setattr(
        runonce, 'resolve_without_owner', lambda outcome: outcome or NOT_RUN
    )
