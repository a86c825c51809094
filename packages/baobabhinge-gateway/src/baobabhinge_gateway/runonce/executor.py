"""Execution of run-once calls."""

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
from baobabhinge_gateway.runonce.attempt import RunOnceAttempt, build_attempt
from baobabhinge_gateway.runonce.responses import render_outcome
from baobabhinge_gateway.runonce.service import RunOnceService

KEY_REQUIRED_DETAIL = (
    'this call may not be repeated: get a key from POST /v1/keys and send it '
    'as Baobabhinge-Key, or send an Idempotency-Key'
)
KEY_REGION_DETAIL = 'the call is not allowed in the region of its key'


class RunOnceExecutor:
    """Run a call at most once, at the owner of its key.

    Parameters
    ----------
    run_once : RunOnceService
        Gives access to owners, witnesses and backend servers.
    """

    __slots__ = ('_run_once',)

    def __init__(self, run_once: RunOnceService) -> None:
        """Store the service; it need not be running yet."""
        self._run_once = run_once

    async def execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Run ``call`` at most once and return the answer to ``request``.

        Raises
        ------
        CallError
            If there is no answer; its outcome says what is known.
        """
        request[OUTCOME_KNOWN] = True
        key = await self._find_key(request, call)
        if not call.terms.allows(key.region):
            raise KeyedRefusalError(RegionBoundError(KEY_REGION_DETAIL))
        attempt = build_attempt(key, call)
        return render_outcome(attempt, await self._resolve_outcome(attempt))

    async def _find_key(self, request: web.Request, call: Call) -> RunOnceKey:
        encoded = request.headers.get(headers.RUN_ONCE_KEY)
        if encoded is not None:
            return self._read_key(encoded)
        idempotency_key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if idempotency_key is None:
            raise KeyRequiredError(KEY_REQUIRED_DETAIL)
        return await self._run_once.binder.bind(call, idempotency_key)

    def _read_key(self, encoded: str) -> RunOnceKey:
        try:
            key = decode_key(encoded)
        except MalformedKeyError as error:
            raise BadKeyError(str(error)) from error
        if self._run_once.key_state.is_forged(key):
            raise BadKeyError('this gateway did not issue the key')
        return key

    async def _resolve_outcome(self, attempt: RunOnceAttempt) -> RunOnceOutcome:
        location = locate_owner(attempt.key, self._run_once.key_state.party)
        if location is OwnerLocation.here:
            return await self._run_once.runner.run(attempt)
        if (
            location is OwnerLocation.elsewhere
            and len(attempt.call.hops.hops) == 1
        ):
            outcome = await self._run_once.forwarder.forward(attempt)
            if outcome is not None:
                return outcome
        message = AskOutcome(attempt.key, attempt.digest)
        return await self._run_once.resolver.seal(message)
