"""Fingerprints by which a request is recognized when it is sent again."""

from collections.abc import Iterator
from hashlib import blake2b

from baobabhinge_gateway.forwarding.call import Call

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


def _compute_digest(call: Call) -> str:
    digest = create_digest(call)
    for text in _list_texts(call):
        update_digest(digest, text)
    digest.update(call.body)
    return digest.hexdigest()


def create_digest(call: Call) -> blake2b:
    """Return an empty digest that differs between sets of allowed regions."""
    key = ','.join(call.regions).encode()[: blake2b.MAX_KEY_SIZE]
    return blake2b(digest_size=DIGEST_BYTES, key=key)


def update_digest(digest: blake2b, text: str) -> None:
    """Add ``text`` to a digest, apart from what is added after it."""
    # Paths and fields may hold bytes that are not UTF-8.
    digest.update(text.encode(errors='surrogateescape'))
    digest.update(b'\0')


def _list_texts(call: Call) -> Iterator[str]:
    head = call.head
    yield from (head.method, head.host, head.target)
    if call.workspace is not None:
        # A line break is in no header, so that none can stand for it.
        yield '\n'
        yield call.workspace.name
    for name, text in head.headers:
        if name.lower() in CALLER_HEADERS:
            yield text
