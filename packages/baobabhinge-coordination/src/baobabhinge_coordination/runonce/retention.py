"""How long and how much owners and witnesses keep."""

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
    """Bounds of the state in memory.

    No bound is needed for safety: with any values, and with clocks that run
    at different rates, a key past its bounds is refused and not run afresh.

    Parameters
    ----------
    key_age : timedelta
        Age on the owner's clock past which a key is refused.
    epoch_span : timedelta
        Time on the owner's clock during which it mints keys of one epoch.
    epoch_age : timedelta
        Age on the witness's clock at which it drops an epoch.
    keys_per_epoch : int
        Keys that one epoch can hold.
    max_epochs : int
        Epochs that one witness holds.
    max_answer_bytes : int
        Longest body that is kept.
    max_kept_bytes : int
        Sum of the bodies that an owner, or a witness, keeps.
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
        """Return the bounds at which keys can be used for ``key_age``."""
        return cls(
            key_age, key_age * EPOCH_SPAN_FRACTION, key_age * EPOCH_AGE_FACTOR
        )
