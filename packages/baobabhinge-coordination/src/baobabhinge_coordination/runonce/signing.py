"""Signatures that prove that an owner minted a key."""

import hashlib
from hmac import compare_digest
from random import Random

import msgspec

from baobabhinge_coordination.runonce.keys import RunOnceKey

SECRET_BITS = 256
SECRET_BYTES = 32
TAG_BYTES = 16


class KeySigner:
    """Sign and verify keys with a secret of this process.

    Callers hold the keys. Without a signature they could extend the age of
    keys, or make up keys, and so grow the state that an owner keeps.

    Parameters
    ----------
    random : Random
        Generator of the secret; must be unpredictable.
    """

    __slots__ = ('_secret',)

    def __init__(self, random: Random) -> None:
        """Draw a secret of 256 bits."""
        self._secret = random.getrandbits(SECRET_BITS).to_bytes(SECRET_BYTES)

    def sign(self, key: RunOnceKey) -> RunOnceKey:
        """Return ``key`` with its signature in the field ``tag``."""
        return msgspec.structs.replace(key, tag=self._compute_tag(key))

    def verify(self, key: RunOnceKey) -> bool:
        """Return whether this process signed ``key``."""
        return compare_digest(key.tag.encode(), self._compute_tag(key).encode())

    def _compute_tag(self, key: RunOnceKey) -> str:
        unsigned = msgspec.structs.replace(key, tag='')
        digest = hashlib.blake2b(
            msgspec.json.encode(unsigned),
            key=self._secret,
            digest_size=TAG_BYTES,
        )
        return digest.hexdigest()
