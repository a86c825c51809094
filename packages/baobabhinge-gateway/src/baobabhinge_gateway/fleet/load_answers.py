"""Decoding of the load that backend servers answer."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.reports import LoadReport


class _LoadAnswer(msgspec.Struct):
    running: int
    waiting: int
    slots: int
    draining: bool = False
    age_ms: int = 0
    models: list[str] = []


def decode_load(body: bytes) -> LoadReport:
    """Return the load report in the JSON ``body`` of a backend server.

    Raises
    ------
    msgspec.MsgspecError
        If the body is malformed.
    """
    answer = msgspec.json.decode(body, type=_LoadAnswer)
    return LoadReport(
        answer.running,
        answer.waiting,
        answer.slots,
        answer.draining,
        timedelta(milliseconds=answer.age_ms),
        frozenset(map(digest_name, answer.models)),
    )
