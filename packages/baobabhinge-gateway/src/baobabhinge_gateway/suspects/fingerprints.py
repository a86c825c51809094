"""Fingerprints that recognise a request when it is sent again."""

from hashlib import blake2b

import msgspec

from baobabhinge_gateway.calls import Call

DIGEST_BYTES = 16


class _Prompt(msgspec.Struct):
    prompt: msgspec.Raw = msgspec.Raw(b'')
    messages: msgspec.Raw = msgspec.Raw(b'')


def fingerprint_call(call: Call, region: str) -> str:
    """Return a digest of service and prompt, keyed by ``region``.

    The key keeps other regions from recognising the prompt. Limits and flags
    of the request are left out: a retry with another ``max_tokens`` has the
    same fingerprint.
    """
    request = msgspec.json.decode(call.body, type=_Prompt)
    digest = blake2b(digest_size=DIGEST_BYTES, key=region.encode()[:64])
    for part in (call.service.name.encode(), request.prompt, request.messages):
        digest.update(bytes(part))
        digest.update(b'\0')
    return digest.hexdigest()
