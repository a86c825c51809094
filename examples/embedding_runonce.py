"""Run a payment at most once, with the coordination package alone.

Three programs of your own: an owner that runs payments, a witness, and an entry
that receives a retry while the owner is unreachable. The messages between them
are function calls here; your program sends them by any transport.
"""

from datetime import timedelta
from random import SystemRandom

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.runonce import (
    AskOutcome,
    CopyOutcome,
    Issuer,
    KeptAnswer,
    KeyMint,
    KeySigner,
    MintWindow,
    OpenEpoch,
    Owner,
    OwnerAction,
    Party,
    RecordIntent,
    Retention,
    RunOnceKey,
    RunOnceOutcome,
    Witness,
    build_answered_outcome,
    compute_request_digest,
    resolve_without_owner,
)

CLOCK = SystemClock()
RANDOM = SystemRandom()
RETENTION = Retention(key_age=timedelta(minutes=5))
OWNER = Owner(Party('vm-1', RANDOM.randbytes(16).hex()), CLOCK, RETENTION)
WITNESS = Witness(Party('vm-2', RANDOM.randbytes(16).hex()), CLOCK, RETENTION)


def take_keys(count: int) -> list[RunOnceKey]:
    """Open an epoch at the witness and mint keys in it."""
    asked = CLOCK.read_monotonic()
    opened = WITNESS.open_epoch(OpenEpoch(OWNER.party))
    mint = KeyMint(
        Issuer('west', OWNER.party),
        KeySigner(RANDOM),
        CLOCK,
        RANDOM,
        RETENTION,
    )
    mint.use_window(MintWindow(asked, opened.witness, opened.epoch))
    return mint.mint(count)


def pay(key: RunOnceKey, order: bytes) -> RunOnceOutcome:
    """Run ``order`` unless it has already run under this key."""
    digest = compute_request_digest(key, [order])
    instruction = OWNER.begin(key, digest)
    if instruction.action is OwnerAction.record:
        verdict = WITNESS.record_intent(RecordIntent(key, digest))
        instruction = OWNER.resolve_intent(key, verdict)
    if instruction.action is OwnerAction.dispatch:
        print(f'paying {order.decode()}')
        paid = build_answered_outcome(KeptAnswer(200, body=b'paid'))
        instruction = OWNER.record_outcome(key, paid)
        WITNESS.copy_outcome(CopyOutcome(key, paid))
    assert instruction.outcome is not None
    return instruction.outcome


def ask_without_owner(key: RunOnceKey) -> RunOnceOutcome:
    """Return the outcome to report while the owner is unreachable."""
    return resolve_without_owner(WITNESS.seal(AskOutcome(key)))


def run() -> None:
    """Pay once, retry, and ask about a key that was never used."""
    used, unused = take_keys(2)
    for _ in range(2):
        print(pay(used, b'40 yen').kind)
    print(pay(used, b'50 yen').reason)
    print(ask_without_owner(used).kind)
    print(ask_without_owner(unused).kind)
    print(pay(unused, b'60 yen').reason)


if __name__ == '__main__':
    run()
