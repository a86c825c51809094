"""Keys that name who may run a call and who witnesses it."""

import base64
from datetime import timedelta

import msgspec

from baobabhinge_coordination.runonce.errors import MalformedKeyError

KEY_PREFIX = 'k1-'
MAX_KEY_LENGTH = 1024
BASE64_BLOCK_LENGTH = 4


class Party(msgspec.Struct, frozen=True):
    """One process.

    Parameters
    ----------
    vm : str
        Name of the vm it runs on.
    incarnation : str
        Random identifier of this start of the process; it never comes back.
    """

    vm: str
    incarnation: str


class RunOnceKey(msgspec.Struct, frozen=True, cache_hash=True):
    """Key under which a call runs at most once.

    Parameters
    ----------
    region : str
        Region of the owner and the witness.
    owner : Party
        The only process that may run the call.
    witness : Party or None
        Process that records the intent to run; ``None`` for an owner alone.
    epoch : int
        Number of the epoch that the witness opened for the owner.
    minted : timedelta
        Monotonic time at the owner when the key was made.
    nonce : str
        128 random bits, in hexadecimal.
    tag : str
        Proof that the owner made the key, in hexadecimal.
    """

    region: str
    owner: Party
    witness: Party | None
    epoch: int
    minted: timedelta
    nonce: str
    tag: str = ''


def encode_key(key: RunOnceKey) -> str:
    """Return ``key`` as text for headers and paths."""
    encoded = base64.urlsafe_b64encode(msgspec.json.encode(key)).decode()
    return KEY_PREFIX + encoded.rstrip('=')


def decode_key(text: str) -> RunOnceKey:
    """Return the key that ``encode_key`` rendered as ``text``.

    Raises
    ------
    MalformedKeyError
        If ``text`` is not such a key.
    """
    if len(text) > MAX_KEY_LENGTH or not text.startswith(KEY_PREFIX):
        raise MalformedKeyError('this is not a run-once key')
    padding = '=' * (-(len(text) - len(KEY_PREFIX)) % BASE64_BLOCK_LENGTH)
    try:
        return _decode_body(text.removeprefix(KEY_PREFIX) + padding)
    except (ValueError, msgspec.MsgspecError) as bad:
        raise MalformedKeyError('the run-once key is damaged') from bad


def _decode_body(text: str) -> RunOnceKey:
    body = base64.b64decode(text, altchars=b'-_', validate=True)
    return msgspec.json.decode(body, type=RunOnceKey)
