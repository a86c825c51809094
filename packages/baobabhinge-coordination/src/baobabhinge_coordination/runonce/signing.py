"""Proof that a key was made by its owner."""

import hashlib
from hmac import compare_digest
from random import Random

import msgspec

from baobabhinge_coordination.runonce.keys import RunOnceKey

SECRET_BITS = 256
SECRET_BYTES = 32
TAG_BYTES = 16


class KeySigner:
    """Sign keys with a secret that only this process has.

    Callers hold keys; without a proof they could raise the age or the number
    of the keys that an owner has to remember.

    Parameters
    ----------
    random : Random
        Generator of the secret; one that can't be predicted.
    """

    __slots__ = ('_secret',)

    def __init__(self, random: Random) -> None:
        """Draw the secret."""
        self._secret = random.getrandbits(SECRET_BITS).to_bytes(SECRET_BYTES)

    def sign(self, key: RunOnceKey) -> RunOnceKey:
        """Return ``key`` with its tag."""
        return msgspec.structs.replace(key, tag=self._compute_tag(key))

    def verify(self, key: RunOnceKey) -> bool:
        """Tell whether this process signed ``key``."""
        return compare_digest(key.tag.encode(), self._compute_tag(key).encode())

    def _compute_tag(self, key: RunOnceKey) -> str:
        unsigned = msgspec.structs.replace(key, tag='')
        digest = hashlib.blake2b(
            msgspec.json.encode(unsigned),
            key=self._secret,
            digest_size=TAG_BYTES,
        )
        return digest.hexdigest()
