"""Keys, signatures and digests, and the bounds of owner and witness."""

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
SMALL_RETENTION = runonce.Retention(
    keys_per_epoch=2,
    max_epochs=2,
    max_answer_bytes=4,
    max_kept_bytes=6,
)
KEY = runonce.RunOnceKey('west', OWNER, WITNESS, 1, timedelta(), 'ab')
NAMES = st.text(max_size=20)


def mint_keys(clock, count=1):
    mint = runonce.KeyMint(
        runonce.Issuer('west', OWNER),
        runonce.KeySigner(Random(1)),
        clock,
        Random(2),
        SMALL_RETENTION,
    )
    mint.use_window(runonce.MintWindow(clock.read_monotonic(), WITNESS, 1))
    return mint.mint(count)


@given(NAMES, NAMES, st.integers(0, 1 << 40), st.booleans())
def test_encoded_keys_are_decoded_unchanged(region, vm, epoch, without_witness):
    party = runonce.Party(vm, 'x')
    witness = None if without_witness else party
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
def test_malformed_keys_are_refused(text):
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
def test_changed_keys_are_not_verified(change):
    signer = runonce.KeySigner(Random(1))
    signed = signer.sign(KEY)
    assert signer.verify(signed)
    assert not signer.verify(msgspec.structs.replace(signed, **change))


@pytest.mark.parametrize(
    ('first', 'second'),
    [([b'ab'], [b'a', b'b']), ([b'a'], [b'b']), ([b'a'], [b'a', b''])],
)
def test_digests_differ_for_different_requests(first, second):
    digests = {
        runonce.compute_request_digest(KEY, parts) for parts in (first, second)
    }
    assert len(digests) == 2


def test_a_window_mints_a_bounded_number_of_keys():
    with pytest.raises(runonce.KeysExhaustedError):
        mint_keys(ManualClock(), 3)


def test_a_witness_holds_a_bounded_number_of_epochs_and_entries():
    witness = runonce.Witness(WITNESS, ManualClock(), SMALL_RETENTION)
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


def test_an_intent_in_the_epoch_of_another_owner_is_refused():
    witness = runonce.Witness(WITNESS, ManualClock(), SMALL_RETENTION)
    witness.open_epoch(runonce.OpenEpoch(runonce.Party('vm-3', 'three')))
    verdict = witness.record_intent(runonce.RecordIntent(KEY, 'd'))
    assert verdict is runonce.IntentVerdict.refused


@pytest.mark.parametrize(
    ('bodies', 'kept_bodies'),
    [
        ([b'1234'], [b'1234']),
        ([b'12345'], [None]),
        ([b'1234', b'123'], [b'1234', None]),
    ],
)
def test_kept_answers_are_bounded_in_bytes(bodies, kept_bodies):
    clock = ManualClock()
    owner = runonce.Owner(OWNER, clock, SMALL_RETENTION)
    witness = runonce.Witness(WITNESS, clock, SMALL_RETENTION)
    witness.open_epoch(runonce.OpenEpoch(OWNER))
    keys = mint_keys(clock, len(bodies))
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
    outcomes = [owner.look_up(used_key) for used_key in keys]
    assert [outcome.answer.body for outcome in outcomes] == kept_bodies
    outcomes = [
        witness.look_up(runonce.AskOutcome(used_key)) for used_key in keys
    ]
    assert [outcome.answer.body for outcome in outcomes] == kept_bodies


def test_removed_answers_free_their_bytes():
    clock = ManualClock()
    owner = runonce.Owner(OWNER, clock, SMALL_RETENTION)
    for _ in range(2):
        key = msgspec.structs.replace(
            mint_keys(clock)[0],
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
