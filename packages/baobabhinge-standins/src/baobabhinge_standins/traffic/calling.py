"""Sending requests with the caller library."""

from http import HTTPStatus

import msgspec

from baobabhinge_caller import (
    CallFailedError,
    Client,
    NotRunError,
    WrongAnswerError,
)
from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.traffic.asking import build_call, build_completion
from baobabhinge_standins.traffic.judging import is_whole_echo
from baobabhinge_standins.traffic.records import Sample
from baobabhinge_standins.traffic.requests import Request
from baobabhinge_standins.traffic.verdicts import Verdict
from baobabhinge_standins.traffic.watches import Watch


async def send(client: Client, request: Request, clock: Clock) -> Sample:
    """Send one request and return what its caller saw."""
    watch = Watch(clock)
    verdict = await _find_verdict(client, request, watch)
    whole = watch.read()
    return Sample(
        request,
        verdict,
        watch.request_id,
        watch.first or whole,
        whole,
    )


async def _find_verdict(
    client: Client,
    request: Request,
    watch: Watch,
) -> Verdict:
    exchange = _complete if request.is_model else _call
    try:
        return await exchange(client, request, watch)
    except NotRunError:
        return Verdict.not_run
    except WrongAnswerError:
        return Verdict.cut
    except CallFailedError:
        return Verdict.unknown if watch.first is None else Verdict.broken


async def _complete(client: Client, request: Request, watch: Watch) -> Verdict:
    order = msgspec.json.decode(request.body, type=EngineRequest)
    asked = build_completion(request, order)
    text = ''
    if order.stream:
        async for token in client.stream_tokens(asked):
            watch.note(token.request_id)
            text += token.text
    else:
        whole = await client.complete(asked)
        watch.note(whole.request_id)
        text = whole.text
    return Verdict.answered if text == order.generate_all() else Verdict.cut


async def _call(client: Client, request: Request, watch: Watch) -> Verdict:
    send_call = client.run_once if request.is_run_once else client.call
    answer = await send_call(build_call(request))
    watch.note(answer.request_id)
    if answer.status != HTTPStatus.OK:
        return Verdict.unknown
    return (
        Verdict.answered if is_whole_echo(request, answer.body) else Verdict.cut
    )
