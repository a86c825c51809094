"""Passing a call on to the owner of its key."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.runonce import (
    KeptAnswer,
    RunOnceKey,
    RunOnceOutcome,
    build_answered_outcome,
    encode_key,
)
from baobabhinge_gateway.backends import Answer, Outbound, open_exchange
from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.errors import AnswerBrokenError, NotReachedError
from baobabhinge_gateway.errors.relayed import read_problem
from baobabhinge_gateway.routing import RoutingTarget
from baobabhinge_gateway.routing.outbound import build_outbound
from baobabhinge_gateway.runonce.attempt import Attempt
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_platform.machines import Vm

OWNER_SHARE = 0.8
LEAST_PATIENCE = timedelta(milliseconds=1)


class OwnerForwarder:
    """Send an attempt to the owner's gateway.

    Parameters
    ----------
    environment : Environment
        Surroundings.
    """

    __slots__ = ('_environment',)

    def __init__(self, environment: Environment) -> None:
        """Keep the surroundings."""
        self._environment = environment

    async def forward(self, attempt: Attempt) -> RunOnceOutcome | None:
        """Return the owner's answer, or ``None`` if it is silent.

        Raises
        ------
        CallError
            If the owner tells that there is no answer.
        """
        key = attempt.key
        owner = self._environment.find_party(key, key.owner)
        if owner is None:
            return None
        try:
            return await self._exchange(attempt, owner)
        except (NotReachedError, AnswerBrokenError):
            return None

    async def _exchange(self, attempt: Attempt, owner: Vm) -> RunOnceOutcome:
        outbound = self._build_outbound(attempt, owner)
        exchange = open_exchange(self._environment.http, outbound)
        async with exchange as answer:
            answer.check_request_id(attempt.call.request_id)
            return await _read_outcome(answer)

    def _build_outbound(self, attempt: Attempt, owner: Vm) -> Outbound:
        now = self._environment.clock.read_monotonic()
        rest = attempt.call.terms.deadline - now
        patience = max(rest * OWNER_SHARE, LEAST_PATIENCE)
        target = RoutingTarget(owner, is_remote=True, in_flight=0)
        return _add_key(
            build_outbound(attempt.call, target, patience),
            attempt.key,
        )


def _add_key(outbound: Outbound, key: RunOnceKey) -> Outbound:
    header = (headers.RUN_ONCE_KEY, encode_key(key))
    return msgspec.structs.replace(
        outbound,
        headers=(*outbound.headers, header),
    )


async def _read_outcome(answer: Answer) -> RunOnceOutcome:
    body = await answer.read_whole()
    if answer.outcome is not None:
        raise read_problem(body)
    return build_answered_outcome(
        KeptAnswer(answer.status, answer.headers, body)
    )
