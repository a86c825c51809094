"""Bounds on the state that owners and witnesses keep."""

from datetime import timedelta

import msgspec

DEFAULT_KEY_AGE = timedelta(minutes=5)
EPOCH_SPAN_FRACTION = 0.2
EPOCH_AGE_FACTOR = 1.6
KEYS_PER_EPOCH = 2000
MAX_EPOCHS = 256
MAX_ANSWER_BYTES = 64 << 10
MAX_KEPT_BYTES = 8 << 20


class Retention(msgspec.Struct, frozen=True):
    """Bounds on the state in memory.

    They save memory; correctness doesn't depend on their values or on clocks
    that run at the same rate: a key past a bound is refused, never run again.

    Parameters
    ----------
    key_age : timedelta
        Age on the owner's clock past which it refuses a key.
    epoch_span : timedelta
        Time on the owner's clock during which it mints keys of one epoch.
    epoch_age : timedelta
        Age on the witness's clock past which it removes an epoch.
    keys_per_epoch : int
        Maximum of keys in one epoch.
    max_epochs : int
        Maximum of epochs at one witness.
    max_answer_bytes : int
        Maximum length of a kept body, in bytes.
    max_kept_bytes : int
        Maximum of all bodies kept by one owner or one witness, in bytes.
    """

    key_age: timedelta = DEFAULT_KEY_AGE
    epoch_span: timedelta = DEFAULT_KEY_AGE * EPOCH_SPAN_FRACTION
    epoch_age: timedelta = DEFAULT_KEY_AGE * EPOCH_AGE_FACTOR
    keys_per_epoch: int = KEYS_PER_EPOCH
    max_epochs: int = MAX_EPOCHS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_kept_bytes: int = MAX_KEPT_BYTES

    @classmethod
    def from_key_age(cls, key_age: timedelta) -> 'Retention':
        """Return bounds under which keys can be used for ``key_age``."""
        return cls(
            key_age, key_age * EPOCH_SPAN_FRACTION, key_age * EPOCH_AGE_FACTOR
        )
