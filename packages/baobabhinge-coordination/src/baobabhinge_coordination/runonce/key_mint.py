"""Making keys."""

from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce.errors import KeysExhaustedError
from baobabhinge_coordination.runonce.keys import Party, RunOnceKey
from baobabhinge_coordination.runonce.retention import Retention
from baobabhinge_coordination.runonce.signing import KeySigner

NONCE_BITS = 128
NONCE_BYTES = 16
NO_EPOCH = 0


class Issuer(msgspec.Struct, frozen=True):
    """The owner of the keys that a mint makes, and its region."""

    region: str
    owner: Party


class MintWindow(msgspec.Struct, frozen=True):
    """What the next keys name.

    Parameters
    ----------
    opened : timedelta
        Monotonic time read before the epoch was asked for.
    witness : Party or None
        Witness; ``None`` for an owner alone.
    epoch : int
        Number that the witness gave; 0 without witness.
    """

    opened: timedelta
    witness: Party | None = None
    epoch: int = NO_EPOCH


class KeyMint:
    """Make keys within the bounds of the present window.

    Parameters
    ----------
    issuer : Issuer
        Owner of the keys.
    signer : KeySigner
        Signer of the keys.
    clock : Clock
        Clock of the ages.
    random : Random
        Generator of nonces; one that can't be predicted.
    retention : Retention
        Bounds.
    """

    __slots__ = (
        '_clock',
        '_issuer',
        '_made',
        '_random',
        '_retention',
        '_signer',
        '_window',
    )

    def __init__(
        self,
        issuer: Issuer,
        signer: KeySigner,
        clock: Clock,
        random: Random,
        retention: Retention,
    ) -> None:
        """Start without a witness."""
        self._issuer = issuer
        self._signer = signer
        self._clock = clock
        self._random = random
        self._retention = retention
        self.use_window(MintWindow(clock.read_monotonic()))

    @property
    def witness(self) -> Party | None:
        """Return the witness that the next keys name."""
        return self._window.witness

    @property
    def window_age(self) -> timedelta:
        """Return the time since the present window was asked for."""
        return self._clock.read_monotonic() - self._window.opened

    def use_window(self, window: MintWindow) -> None:
        """Make the next keys in ``window``."""
        self._window = window
        self._made = 0

    def mint(self, count: int) -> list[RunOnceKey]:
        """Return ``count`` new keys.

        Raises
        ------
        KeysExhaustedError
            If the window has no room or is too old.
        """
        if self.window_age > self._retention.epoch_span:
            raise KeysExhaustedError('the present epoch is too old')
        if self._made + count > self._retention.keys_per_epoch:
            raise KeysExhaustedError('the present epoch has no room')
        self._made += count
        return [self._mint_one() for _ in range(count)]

    def _mint_one(self) -> RunOnceKey:
        key = RunOnceKey(
            region=self._issuer.region,
            owner=self._issuer.owner,
            witness=self._window.witness,
            epoch=self._window.epoch,
            minted=self._clock.read_monotonic(),
            nonce=self._random.getrandbits(NONCE_BITS)
            .to_bytes(NONCE_BYTES)
            .hex(),
        )
        return self._signer.sign(key)
