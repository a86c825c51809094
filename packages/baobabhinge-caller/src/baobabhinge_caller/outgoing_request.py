"""HTTP requests that carry calls to any gateway."""

from http import HTTPMethod

import msgspec

from baobabhinge_caller.headers import list_headers
from baobabhinge_caller.requests import ServiceCall

KEY_BATCH_SIZE = 32


class OutgoingRequest(msgspec.Struct, frozen=True):
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


class _KeyRequest(msgspec.Struct, frozen=True):
    count: int


def build_service_request(
    call: ServiceCall, key: str | None
) -> OutgoingRequest:
    """Return the request of a service call; a key makes it repeatable.

    The gateways run a call at most once under one key.
    """
    headers = list_headers(call.terms)
    if key is not None:
        headers['Baobabhinge-Key'] = key
    return OutgoingRequest(
        call.method,
        f'/services/{call.service}{call.path}',
        headers,
        call.body,
        is_repeatable=call.is_repeatable or key is not None,
    )


def build_key_request() -> OutgoingRequest:
    """Return the request for a batch of run-once keys.

    Keys that are never used expire, so that it may be sent again.
    """
    return OutgoingRequest(
        HTTPMethod.POST,
        '/v1/keys',
        {},
        msgspec.json.encode(_KeyRequest(KEY_BATCH_SIZE)),
        is_repeatable=True,
    )
