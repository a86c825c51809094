"""Forwarding of run-once calls to the owners of their keys."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.runonce import (
    KeptAnswer,
    RunOnceKey,
    RunOnceOutcome,
    build_answered_outcome,
    encode_key,
)
from baobabhinge_gateway.backends import (
    ExchangeAnswer,
    ExchangeRequest,
    open_exchange,
)
from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.errors import AnswerBrokenError, NotReachedError
from baobabhinge_gateway.errors.relayed import decode_problem
from baobabhinge_gateway.routing import RoutingTarget
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.runonce.attempt import RunOnceAttempt
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_platform.machines import Vm

# Leaves time to ask the witness when the owner does not answer.
OWNER_TIMEOUT_FRACTION = 0.8
MIN_OWNER_TIMEOUT = timedelta(milliseconds=1)


class OwnerForwarder:
    """Send attempts to the gateways that own their keys.

    Parameters
    ----------
    context : RunOnceContext
        Shared collaborators.
    """

    __slots__ = ('_context',)

    def __init__(self, context: RunOnceContext) -> None:
        """Store the shared collaborators."""
        self._context = context

    async def forward(self, attempt: RunOnceAttempt) -> RunOnceOutcome | None:
        """Return the outcome that the owner reports.

        Returns
        -------
        RunOnceOutcome or None
            ``None`` if the owner is not known, was not reached or gave no
            complete answer.

        Raises
        ------
        CallError
            If the owner reports an error.
        """
        key = attempt.key
        owner = self._context.find_party_gateway(key, key.owner)
        if owner is None:
            return None
        try:
            return await self._exchange(attempt, owner)
        except (NotReachedError, AnswerBrokenError):
            return None

    async def _exchange(
        self, attempt: RunOnceAttempt, owner: Vm
    ) -> RunOnceOutcome:
        outbound = self._build_outbound(attempt, owner)
        exchange = open_exchange(self._context.http, outbound)
        async with exchange as answer:
            answer.check_request_id(attempt.call.request_id)
            return await _read_outcome(answer)

    def _build_outbound(
        self, attempt: RunOnceAttempt, owner: Vm
    ) -> ExchangeRequest:
        now = self._context.clock.read_monotonic()
        time_left = attempt.call.terms.deadline - now
        timeout = max(time_left * OWNER_TIMEOUT_FRACTION, MIN_OWNER_TIMEOUT)
        target = RoutingTarget(owner, is_remote=True, in_flight=0)
        return _add_key(
            build_outbound(attempt.call, target, timeout),
            attempt.key,
        )


def _add_key(outbound: ExchangeRequest, key: RunOnceKey) -> ExchangeRequest:
    header = (headers.RUN_ONCE_KEY, encode_key(key))
    return msgspec.structs.replace(
        outbound,
        headers=(*outbound.headers, header),
    )


async def _read_outcome(answer: ExchangeAnswer) -> RunOnceOutcome:
    body = await answer.read_complete()
    if answer.outcome is not None:
        raise decode_problem(body)
    return build_answered_outcome(
        KeptAnswer(answer.status, answer.headers, body)
    )
