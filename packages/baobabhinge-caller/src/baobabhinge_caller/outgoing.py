"""HTTP requests that carry calls to any gateway."""

from http import HTTPMethod

import msgspec

from baobabhinge_caller.headers import list_headers
from baobabhinge_caller.requests import ServiceCall

BATCH_SIZE = 32


class Outgoing(msgspec.Struct, frozen=True):
    """One HTTP request to any gateway.

    Parameters
    ----------
    method, path : str
        Method and path.
    headers : dict of str to str
        Headers of the library.
    body : bytes
        Whole body.
    is_repeatable : bool
        Whether it may be sent again when its outcome is unknown.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_repeatable: bool


class _KeyOrder(msgspec.Struct, frozen=True):
    count: int


def build_service_call(call: ServiceCall, key: str | None) -> Outgoing:
    """Return the request of a service call; a key makes it repeatable.

    The gateways run a call at most once under one key.
    """
    headers = list_headers(call.terms)
    if key is not None:
        headers['Baobabhinge-Key'] = key
    return Outgoing(
        call.method,
        f'/services/{call.service}{call.path}',
        headers,
        call.body,
        is_repeatable=call.is_repeatable or key is not None,
    )


def build_key_order() -> Outgoing:
    """Return the request for a batch of run-once keys.

    Keys that are never used expire, so that it may be sent again.
    """
    return Outgoing(
        HTTPMethod.POST,
        '/v1/keys',
        {},
        msgspec.json.encode(_KeyOrder(BATCH_SIZE)),
        is_repeatable=True,
    )
