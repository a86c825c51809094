"""Recognising a request when its caller sends it again."""

from hashlib import blake2b

import msgspec

from baobabhinge_gateway.calls import Call

DIGEST_BYTES = 16


class _PromptParts(msgspec.Struct):
    prompt: msgspec.Raw = msgspec.Raw(b'')
    messages: msgspec.Raw = msgspec.Raw(b'')


def fingerprint_call(call: Call, region: str) -> str:
    """Return a digest of the prompt, keyed by the region that may know it.

    Limits and flags of the request do not count: a repeat with another
    ``max_tokens`` has the same fingerprint.
    """
    asked = msgspec.json.decode(call.body, type=_PromptParts)
    digest = blake2b(digest_size=DIGEST_BYTES, key=region.encode()[:64])
    for part in (call.service.name.encode(), asked.prompt, asked.messages):
        digest.update(bytes(part))
        digest.update(b'\0')
    return digest.hexdigest()
