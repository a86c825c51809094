"""Executor of calls that may not be repeated."""

from aiohttp import web

from baobabhinge_coordination.runonce import (
    AskOutcome,
    MalformedKeyError,
    OwnerLocation,
    RunOnceKey,
    RunOnceOutcome,
    decode_key,
    locate_owner,
)
from baobabhinge_gateway.calls import Call, headers
from baobabhinge_gateway.errors import (
    BadKeyError,
    KeyedRefusalError,
    KeyRequiredError,
    RegionBoundError,
)
from baobabhinge_gateway.execution import OUTCOME_KNOWN
from baobabhinge_gateway.runonce.attempt import Attempt, build_attempt
from baobabhinge_gateway.runonce.parts import RunOnceParts
from baobabhinge_gateway.runonce.rendering import render_outcome

NO_KEY = (
    'this call may not be repeated: take a key from POST /v1/keys and send it '
    'as Baobabhinge-Key, or bring an Idempotency-Key'
)
OTHER_REGION = 'the key was made in a region that the call may not be in'


class RunOnceExecutor:
    """Run a call at most once, at the owner of its key.

    Parameters
    ----------
    parts : RunOnceParts
        Ways to owners, witnesses and backend servers.
    """

    __slots__ = ('_parts',)

    def __init__(self, parts: RunOnceParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` and answer ``request``.

        Raises
        ------
        CallError
            If there is no answer; its outcome tells what is known.
        """
        request[OUTCOME_KNOWN] = True
        key = await self._find_key(request, call)
        if not call.terms.allows(key.region):
            raise KeyedRefusalError(RegionBoundError(OTHER_REGION))
        attempt = build_attempt(key, call)
        return render_outcome(attempt, await self._conclude(attempt))

    async def _find_key(self, request: web.Request, call: Call) -> RunOnceKey:
        text = request.headers.get(headers.RUN_ONCE_KEY)
        if text is not None:
            return self._read_key(text)
        own = request.headers.get(headers.IDEMPOTENCY_KEY)
        if own is None:
            raise KeyRequiredError(NO_KEY)
        return await self._parts.binder.bind(call, own)

    def _read_key(self, text: str) -> RunOnceKey:
        try:
            key = decode_key(text)
        except MalformedKeyError as bad:
            raise BadKeyError(str(bad)) from bad
        if self._parts.memory.is_forged(key):
            raise BadKeyError('this gateway did not make the key')
        return key

    async def _conclude(self, attempt: Attempt) -> RunOnceOutcome:
        place = locate_owner(attempt.key, self._parts.memory.party)
        if place is OwnerLocation.here:
            return await self._parts.runner.run(attempt)
        if (
            place is OwnerLocation.elsewhere
            and len(attempt.call.hops.hops) == 1
        ):
            told = await self._parts.forwarder.forward(attempt)
            if told is not None:
                return told
        order = AskOutcome(attempt.key, attempt.digest)
        return await self._parts.inquirer.seal(order)
