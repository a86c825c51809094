"""HTTP requests for service calls and run-once keys."""

from http import HTTPMethod

import msgspec

from baobabhinge_caller.headers import list_headers
from baobabhinge_caller.requests import ServiceCall

KEY_BATCH_SIZE = 32


class OutgoingRequest(msgspec.Struct, frozen=True):
    """HTTP request that can be sent to any gateway.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with its query.
    headers : dict of str to str
        Headers set by the library.
    body : bytes
        Complete body.
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
    """Return the request for a service call.

    A key makes it repeatable, as the gateways run at most one call for each
    key.
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

    It is repeatable, as keys that are never used expire.
    """
    return OutgoingRequest(
        HTTPMethod.POST,
        '/v1/keys',
        {},
        msgspec.json.encode(_KeyRequest(KEY_BATCH_SIZE)),
        is_repeatable=True,
    )
