"""Timeouts, opening and refusals of the exchange of one attempt."""

from contextlib import AbstractAsyncContextManager, AsyncExitStack
from datetime import timedelta
from http import HTTPStatus

from baobabhinge_gateway.backends import ExchangeAnswer
from baobabhinge_gateway.backends.engine_refusals import parse_engine_refusal
from baobabhinge_gateway.backends.silence_limits import (
    SilenceLimits,
    limit_silence,
    wait_within,
)
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import BackendFailedError
from baobabhinge_gateway.errors.relayed import decode_problem
from baobabhinge_gateway.routing import RoutingTarget
from baobabhinge_settings.model import ServiceKind

LOCAL_TIMEOUT_FRACTION = 0.5
REMOTE_TIMEOUT_FRACTION = 0.75
EVENT_TIMEOUT = timedelta(seconds=2)
REMOTE_EVENT_TIMEOUT = timedelta(seconds=6)
MIN_TIMEOUT = timedelta(milliseconds=100)
ENGINE_FAILURE_STATUSES = frozenset(
    (
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    ),
)


def compute_timeouts(
    call: Call,
    target: RoutingTarget,
    time_left: timedelta,
) -> SilenceLimits:
    """Return the timeouts of one attempt.

    Part of the remaining time is reserved for later attempts. Another gateway
    gets a larger fraction, because it makes attempts of its own.

    Parameters
    ----------
    call : Call
        Call to send.
    target : RoutingTarget
        Target of the attempt.
    time_left : timedelta
        Time left until the deadline of the call.
    """
    fraction = (
        REMOTE_TIMEOUT_FRACTION if target.is_remote else LOCAL_TIMEOUT_FRACTION
    )
    first = max(MIN_TIMEOUT, time_left * fraction)
    if not call.streamed:
        return SilenceLimits(first, first)
    if target.is_remote:
        return SilenceLimits(first, REMOTE_EVENT_TIMEOUT)
    return SilenceLimits(first, EVENT_TIMEOUT)


async def open_with_timeouts(
    stack: AsyncExitStack,
    exchange: AbstractAsyncContextManager[ExchangeAnswer],
    timeouts: SilenceLimits,
) -> ExchangeAnswer:
    """Enter ``exchange`` and apply the timeouts to its answer.

    Raises
    ------
    AnswerBrokenError
        If the headers do not arrive in time.
    """
    opening = stack.enter_async_context(exchange)
    answer = await wait_within(opening, timeouts.first)
    answer.chunks = limit_silence(answer.chunks, timeouts)
    return answer


async def check_refusal(
    call: Call, answer: ExchangeAnswer, target: RoutingTarget
) -> None:
    """Raise the error that ``target`` sent in place of an answer.

    Raises
    ------
    CallError
        If a gateway refused the call, or an engine cannot serve it.
    """
    if target.is_remote and answer.outcome is not None:
        answer.check_request_id(call.request_id)
        raise decode_problem(await answer.read_complete())
    is_model = call.service.kind is ServiceKind.model
    if is_model and answer.status == HTTPStatus.NOT_FOUND:
        raise parse_engine_refusal(await answer.read_complete())
    if is_model and answer.status in ENGINE_FAILURE_STATUSES:
        raise BackendFailedError('backend server answered with an error status')
