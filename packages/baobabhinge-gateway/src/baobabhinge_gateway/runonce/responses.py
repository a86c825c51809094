"""Responses that report the outcome of a run-once call."""

from datetime import timedelta

from aiohttp import web

from baobabhinge_coordination.runonce import (
    KeptAnswer,
    OutcomeKind,
    OutcomeReason,
    RunOnceOutcome,
)
from baobabhinge_gateway.calls.headers import REQUEST_ID
from baobabhinge_gateway.errors import (
    AnswerNotKeptError,
    CallError,
    KeyReusedError,
    NotRunError,
    OutcomeUnknownError,
)
from baobabhinge_gateway.runonce.attempt import RunOnceAttempt

OUTCOME_RETRY_AFTER = timedelta(seconds=1)
RETRY_ADVICE = 'send it again with the same key, or GET /v1/keys/{key}'
NEW_KEY_ADVICE = 'get a new key from POST /v1/keys to try again'


def render_outcome(
    attempt: RunOnceAttempt, outcome: RunOnceOutcome
) -> web.Response:
    """Return the kept answer as the response to ``attempt``.

    Raises
    ------
    CallError
        If the outcome has no answer, or the answer was not kept.
    """
    if outcome.kind is OutcomeKind.unknown:
        raise OutcomeUnknownError(
            f'{outcome.reason}: the call may have run; {RETRY_ADVICE}',
            OUTCOME_RETRY_AFTER,
        )
    if outcome.answer is None:
        raise _describe_not_run(outcome.reason)
    return _render_answer(attempt.call.request_id, outcome.answer)


def _describe_not_run(reason: OutcomeReason) -> CallError:
    if reason is OutcomeReason.other_request:
        return KeyReusedError('the key belongs to another request')
    return NotRunError(f'{reason}: the call did not run; {NEW_KEY_ADVICE}')


def _render_answer(request_id: str, answer: KeptAnswer) -> web.Response:
    if answer.body is None:
        raise AnswerNotKeptError(
            f'the call ran and was answered with status {answer.status}; '
            'the answer was too long to keep',
        )
    response = web.Response(status=answer.status, body=answer.body)
    for name, text in answer.headers:
        response.headers.add(name, text)
    response.headers[REQUEST_ID] = request_id
    return response
