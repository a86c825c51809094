from datetime import timedelta
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination import runonce
from baobabhinge_coordination.clock import ManualClock

OWNER = runonce.Party('vm-1', 'one')
WITNESS = runonce.Party('vm-2', 'two')
SMALL = runonce.Retention(
    keys_per_epoch=2,
    max_epochs=2,
    max_answer_bytes=4,
    max_kept_bytes=6,
)
KEY = runonce.RunOnceKey('west', OWNER, WITNESS, 1, timedelta(), 'ab')
NAMES = st.text(max_size=20)


def mint(clock, count=1):
    maker = runonce.KeyMint(
        runonce.Issuer('west', OWNER),
        runonce.KeySigner(Random(1)),
        clock,
        Random(2),
        SMALL,
    )
    maker.use_window(runonce.MintWindow(clock.read_monotonic(), WITNESS, 1))
    return maker.mint(count)


@given(NAMES, NAMES, st.integers(0, 1 << 40), st.booleans())
def test_keys_survive_their_text(region, vm, epoch, is_alone):
    party = runonce.Party(vm, 'x')
    witness = None if is_alone else party
    key = runonce.RunOnceKey(
        region, party, witness, epoch, timedelta(seconds=3), 'a'
    )
    assert runonce.decode_key(runonce.encode_key(key)) == key


@pytest.mark.parametrize(
    'text',
    [
        '',
        'k1-',
        'k1-%%',
        'k2-e30',
        runonce.encode_key(KEY)[:-4],
        'k1-'.ljust(2000, 'A'),
    ],
)
def test_damaged_keys_are_refused(text):
    with pytest.raises(runonce.MalformedKeyError):
        runonce.decode_key(text)


@pytest.mark.parametrize(
    'change',
    [
        {'minted': timedelta(hours=1)},
        {'nonce': 'cd'},
        {'witness': None},
        {'epoch': 2},
        {'tag': 'ef'},
    ],
)
def test_changed_keys_are_not_the_owners(change):
    signer = runonce.KeySigner(Random(1))
    signed = signer.sign(KEY)
    assert signer.verify(signed)
    assert not signer.verify(msgspec.structs.replace(signed, **change))


@pytest.mark.parametrize(
    ('first', 'second'),
    [([b'ab'], [b'a', b'b']), ([b'a'], [b'b']), ([b'a'], [b'a', b''])],
)
def test_digests_tell_requests_apart(first, second):
    digests = {
        runonce.compute_request_digest(KEY, parts) for parts in (first, second)
    }
    assert len(digests) == 2


def test_a_window_makes_a_bounded_number_of_keys():
    with pytest.raises(runonce.KeysExhaustedError):
        mint(ManualClock(), 3)


def test_a_witness_holds_a_bounded_number_of_epochs_and_rows():
    witness = runonce.Witness(WITNESS, ManualClock(), SMALL)
    for _ in range(2):
        opened = witness.open_epoch(runonce.OpenEpoch(OWNER))
    with pytest.raises(runonce.WitnessFullError):
        witness.open_epoch(runonce.OpenEpoch(OWNER))
    keys = [
        msgspec.structs.replace(KEY, epoch=opened.epoch, nonce=nonce)
        for nonce in 'abc'
    ]
    verdicts = [
        witness.record_intent(runonce.RecordIntent(key, 'd')) for key in keys
    ]
    recorded = runonce.IntentVerdict.recorded
    assert verdicts == [recorded, recorded, runonce.IntentVerdict.refused]
    assert (
        witness.seal(runonce.AskOutcome(keys[2])).reason
        is runonce.OutcomeReason.witness_lost
    )


def test_another_owners_epoch_is_not_open():
    witness = runonce.Witness(WITNESS, ManualClock(), SMALL)
    witness.open_epoch(runonce.OpenEpoch(runonce.Party('vm-3', 'three')))
    verdict = witness.record_intent(runonce.RecordIntent(KEY, 'd'))
    assert verdict is runonce.IntentVerdict.refused


@pytest.mark.parametrize(
    ('bodies', 'kept'),
    [
        ([b'1234'], [b'1234']),
        ([b'12345'], [None]),
        ([b'1234', b'123'], [b'1234', None]),
    ],
)
def test_kept_answers_are_bounded_in_bytes(bodies, kept):
    clock = ManualClock()
    owner = runonce.Owner(OWNER, clock, SMALL)
    witness = runonce.Witness(WITNESS, clock, SMALL)
    witness.open_epoch(runonce.OpenEpoch(OWNER))
    keys = mint(clock, len(bodies))
    for key, body in zip(keys, bodies, strict=True):
        owner.begin(key, 'd')
        owner.resolve_intent(
            key, witness.record_intent(runonce.RecordIntent(key, 'd'))
        )
        outcome = runonce.build_answered_outcome(
            runonce.KeptAnswer(200, body=body)
        )
        owner.record_outcome(key, outcome)
        witness.copy_outcome(runonce.CopyOutcome(key, outcome))
    told = [owner.look_up(used) for used in keys]
    assert [outcome.answer.body for outcome in told] == kept
    told = [witness.look_up(runonce.AskOutcome(used)) for used in keys]
    assert [outcome.answer.body for outcome in told] == kept


def test_dropped_answers_make_room():
    clock = ManualClock()
    owner = runonce.Owner(OWNER, clock, SMALL)
    for _ in range(2):
        key = msgspec.structs.replace(
            mint(clock)[0],
            witness=None,
            minted=clock.read_monotonic(),
        )
        owner.begin(key, 'd')
        owner.record_outcome(
            key,
            runonce.build_answered_outcome(
                runonce.KeptAnswer(200, body=b'1234')
            ),
        )
        assert owner.look_up(key).answer.body == b'1234'
        clock.advance(timedelta(hours=1))
        owner.entries.drop_expired()
        assert (
            owner.begin(key, 'd').outcome.reason
            is runonce.OutcomeReason.expired
        )
