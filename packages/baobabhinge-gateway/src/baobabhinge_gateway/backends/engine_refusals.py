"""Refusals of engines: the request was not run."""

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
    """Return what an engine that knows no such model means by ``body``.

    Only a refusal that says so leaves the request surely not run.
    """
    try:
        told = msgspec.json.decode(body, type=_Refused)
    except msgspec.MsgspecError:
        return BackendFailedError('the backend server does not know the path')
    if told.error.code == ModelNotLoadedError.code:
        return ModelNotLoadedError('the engine has not loaded the model')
    return BackendFailedError('the backend server failed')
