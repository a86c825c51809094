"""Refusals of engines."""

import msgspec

from baobabhinge_gateway.errors import (
    BackendFailedError,
    CallError,
    ModelNotLoadedError,
)


class _ErrorDetail(msgspec.Struct):
    code: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


def parse_engine_refusal(body: bytes) -> CallError:
    """Return the error for the body of an engine's 404 answer.

    Only the code of `ModelNotLoadedError` shows that the request has not run;
    any other body leaves the outcome unknown.
    """
    try:
        error_body = msgspec.json.decode(body, type=_ErrorBody)
    except msgspec.MsgspecError:
        return BackendFailedError(
            'the backend server answered 404 with an unreadable body'
        )
    if error_body.error.code == ModelNotLoadedError.code:
        return ModelNotLoadedError('the engine has not loaded the model')
    return BackendFailedError(
        'the backend server answered 404, but not as model-not-loaded'
    )
