"""Fingerprints by which requests and parts of prompts are recognized."""

from collections.abc import Iterator, Sequence
from hashlib import blake2b

from baobabhinge_gateway.forwarding.call import Call, CallHead

DIGEST_BYTES = 8
# Separates callers that send equal requests but are told apart by the server.
CALLER_HEADERS = frozenset(('authorization', 'cookie'))


def fingerprint_call(call: Call) -> str:
    """Return a digest of the request of ``call``, without its attempt.

    Equal are requests with the same method, host, target, body and identity of
    the caller. The digest is computed once for each call.

    Notes
    -----
    The key keeps regions that may not serve the call from recognizing the
    request.
    """
    if not call.fingerprint:
        call.fingerprint = _compute_digest(call)
    return call.fingerprint


def fingerprint_parts(call: Call) -> Sequence[str]:
    """Return digests of the parts of the prompt that single calls share.

    Left out are the first part, which all calls of a route may share, and the
    last one, which belongs to the call itself. Like that of a request, a digest
    differs between calls that may be served in different regions.
    """
    if call.head.demand is None:
        return ()
    names = dict.fromkeys(part.name for part in call.head.demand.inner)
    return [_compute_part_digest(call, name) for name in names]


def _compute_digest(call: Call) -> str:
    digest = _create_digest(call)
    for text in _list_texts(call.head):
        _update(digest, text)
    digest.update(call.body)
    return digest.hexdigest()


def _compute_part_digest(call: Call, name: str) -> str:
    digest = _create_digest(call)
    _update(digest, name)
    return digest.hexdigest()


def _create_digest(call: Call) -> blake2b:
    key = ','.join(call.route.regions).encode()[: blake2b.MAX_KEY_SIZE]
    return blake2b(digest_size=DIGEST_BYTES, key=key)


def _update(digest: blake2b, text: str) -> None:
    # Paths and fields may hold bytes that are not UTF-8.
    digest.update(text.encode(errors='surrogateescape'))
    digest.update(b'\0')


def _list_texts(head: CallHead) -> Iterator[str]:
    yield from (head.method, head.host, head.target)
    for name, text in head.headers:
        if name.lower() in CALLER_HEADERS:
            yield text
