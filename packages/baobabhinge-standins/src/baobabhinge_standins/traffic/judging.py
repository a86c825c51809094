"""Verifying answers against what the backend servers must say."""

from http import HTTPStatus

import msgspec

from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.traffic.problems import read_problem
from baobabhinge_standins.traffic.replies import (
    Echo,
    Reply,
    read_completions,
)
from baobabhinge_standins.traffic.requests import Request
from baobabhinge_standins.traffic.verdicts import Verdict

ERROR_PREFIX = b'event: error'
OUTCOMES = {'not-run': Verdict.not_run, 'unknown': Verdict.unknown}


def judge(request: Request, reply: Reply) -> Verdict:
    """Return what became of ``request``."""
    if reply.status != HTTPStatus.OK:
        return _judge_refusal(reply)
    if not reply.is_ended or ERROR_PREFIX in reply.body:
        return Verdict.broken
    try:
        is_whole = _is_whole(request, reply)
    except msgspec.MsgspecError:
        return Verdict.cut
    return Verdict.answered if is_whole else Verdict.cut


def _judge_refusal(reply: Reply) -> Verdict:
    problem = read_problem(reply.body)
    return OUTCOMES.get(problem.outcome, Verdict.unknown)


def _is_whole(request: Request, reply: Reply) -> bool:
    if request.is_model:
        return _is_whole_completion(request, reply)
    return is_whole_echo(request, reply.body)


def is_whole_echo(request: Request, body: bytes) -> bool:
    """Tell whether a plain service answered ``request`` with ``body``."""
    try:
        echo = msgspec.json.decode(body, type=Echo)
    except msgspec.MsgspecError:
        return False
    expected = (request.service_path, request.body.decode())
    return (echo.path, echo.echo) == expected


def _is_whole_completion(request: Request, reply: Reply) -> bool:
    order = msgspec.json.decode(request.body, type=EngineRequest)
    parts = read_completions(reply.body, is_streamed=order.stream)
    named = {part.id for part in parts}
    text = ''.join(part.read() for part in parts)
    return named == {reply.request_id} and text == order.generate_all()
