"""Run-once keys, which name the owner and the witness of a call."""

import base64
from datetime import timedelta

import msgspec

from baobabhinge_coordination.runonce.errors import MalformedKeyError

KEY_PREFIX = 'k1-'
MAX_KEY_LENGTH = 1024
BASE64_BLOCK_LENGTH = 4


class Party(msgspec.Struct, frozen=True):
    """A process that takes part in the protocol, as owner or witness.

    Parameters
    ----------
    vm : str
        Name of the vm it runs on.
    incarnation : str
        Random identifier of one start of the process, never used again.
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
        Process that records the intent to run the call; ``None`` for a key
        without witness.
    epoch : int
        Number of the epoch that the witness opened for the owner; 0 without
        witness.
    minted : timedelta
        Time on the owner's monotonic clock when the key was minted.
    nonce : str
        128 random bits, in hexadecimal.
    tag : str
        Owner's signature of the other fields, in hexadecimal; empty if the
        key is not signed.
    """

    region: str
    owner: Party
    witness: Party | None
    epoch: int
    minted: timedelta
    nonce: str
    tag: str = ''


def encode_key(key: RunOnceKey) -> str:
    """Return ``key`` encoded for headers and paths."""
    encoded = base64.urlsafe_b64encode(msgspec.json.encode(key)).decode()
    return KEY_PREFIX + encoded.rstrip('=')


def decode_key(text: str) -> RunOnceKey:
    """Return the key that ``encode_key`` encoded as ``text``.

    The signature is not checked.

    Raises
    ------
    MalformedKeyError
        If ``text`` is too long, lacks the prefix or doesn't encode a key.
    """
    if len(text) > MAX_KEY_LENGTH or not text.startswith(KEY_PREFIX):
        raise MalformedKeyError(
            'this is not a run-once key: it is too long or lacks the prefix',
        )
    padding = '=' * (-(len(text) - len(KEY_PREFIX)) % BASE64_BLOCK_LENGTH)
    try:
        return _decode_body(text.removeprefix(KEY_PREFIX) + padding)
    except (ValueError, msgspec.MsgspecError) as error:
        raise MalformedKeyError(
            'the run-once key is damaged: its body is not base64 of a key',
        ) from error


def _decode_body(text: str) -> RunOnceKey:
    body = base64.b64decode(text, altchars=b'-_', validate=True)
    return msgspec.json.decode(body, type=RunOnceKey)
