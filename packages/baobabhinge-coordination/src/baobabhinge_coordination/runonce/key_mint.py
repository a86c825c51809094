"""Minting of run-once keys."""

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
    """Owner of the minted keys, and its region."""

    region: str
    owner: Party


class MintWindow(msgspec.Struct, frozen=True):
    """Witness and epoch of the keys minted during one span of time.

    Parameters
    ----------
    opened : timedelta
        Monotonic time read before the epoch was requested.
    witness : Party or None
        Witness of the keys; ``None`` for keys without witness.
    epoch : int
        Number of the epoch at the witness; 0 without witness.
    """

    opened: timedelta
    witness: Party | None = None
    epoch: int = NO_EPOCH


class KeyMint:
    """Mint signed keys within the bounds of the current window.

    Parameters
    ----------
    issuer : Issuer
        Owner that the keys name.
    signer : KeySigner
        Signer of the keys.
    clock : Clock
        Clock of the owner, read when a key is minted.
    random : Random
        Generator of nonces; must be unpredictable.
    retention : Retention
        Bounds on the span of a window and on its keys.
    """

    __slots__ = (
        '_clock',
        '_issuer',
        '_minted_count',
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
        """Start with a window without witness."""
        self._issuer = issuer
        self._signer = signer
        self._clock = clock
        self._random = random
        self._retention = retention
        self.use_window(MintWindow(clock.read_monotonic()))

    @property
    def witness(self) -> Party | None:
        """Return the witness of the current window."""
        return self._window.witness

    @property
    def window_age(self) -> timedelta:
        """Return the time since the current window was requested."""
        return self._clock.read_monotonic() - self._window.opened

    def use_window(self, window: MintWindow) -> None:
        """Mint keys in ``window`` from now on."""
        self._window = window
        self._minted_count = 0

    def mint(self, count: int) -> list[RunOnceKey]:
        """Return ``count`` new keys.

        Raises
        ------
        KeysExhaustedError
            If the window is too old or has no room for ``count`` keys.
        """
        if self.window_age > self._retention.epoch_span:
            raise KeysExhaustedError(
                'no key can be minted: the current epoch is too old',
            )
        if self._minted_count + count > self._retention.keys_per_epoch:
            raise KeysExhaustedError(
                'no key can be minted: the current epoch has no room left',
            )
        self._minted_count += count
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
