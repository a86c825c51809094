"""Error answers as callers read them."""

import msgspec


class Problem(msgspec.Struct):
    """The part of an error answer that callers act upon.

    Parameters
    ----------
    outcome : str
        What is known about the call.
    code : str
        Stable code of the error.
    """

    outcome: str = ''
    code: str = ''


def read_problem(body: bytes) -> Problem:
    """Return the error that an answer tells, an empty one if it is none."""
    try:
        return msgspec.json.decode(body, type=Problem)
    except msgspec.MsgspecError:
        return Problem()
