"""Refusals of engines."""

import msgspec

from baobabhinge_gateway.errors import (
    BackendFailedError,
    CallError,
    ModelNotLoadedError,
)


class _Refusal(msgspec.Struct):
    code: str


class _Refused(msgspec.Struct):
    error: _Refusal


def parse_engine_refusal(body: bytes) -> CallError:
    """Return the error for the body of an engine's answer 404.

    Only the code of `ModelNotLoadedError` shows that the request has not run;
    any other body leaves the outcome unknown.
    """
    try:
        refused = msgspec.json.decode(body, type=_Refused)
    except msgspec.MsgspecError:
        return BackendFailedError(
            'the backend server answered 404 with an unreadable body'
        )
    if refused.error.code == ModelNotLoadedError.code:
        return ModelNotLoadedError('the engine has not loaded the model')
    return BackendFailedError(
        'the backend server answered 404 with another error code'
    )
