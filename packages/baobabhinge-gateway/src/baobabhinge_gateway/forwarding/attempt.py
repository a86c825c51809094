"""One attempt of a call at one target."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.estimates import Prospect
from baobabhinge_gateway.forwarding.exchange import (
    Outbound,
    open_exchange,
    read_whole,
)
from baobabhinge_gateway.forwarding.headers import keep_end_to_end
from baobabhinge_gateway.forwarding.hop import HopProtocol
from baobabhinge_gateway.forwarding.limits import measure_left
from baobabhinge_gateway.forwarding.loads import HeldLoad
from baobabhinge_gateway.forwarding.placement import Knowledge, Placement
from baobabhinge_gateway.forwarding.problems import (
    DeclinedError,
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.protocols import (
    BackendProtocol,
    Responder,
    Verdict,
)
from baobabhinge_gateway.forwarding.relay import StreamRelay
from baobabhinge_gateway.forwarding.targets import Target


class FailedAnswer(msgspec.Struct, frozen=True):
    """A whole answer by which a backend server failed the call."""

    status: int
    headers: Headers
    body: bytes


@asynccontextmanager
async def _uncounted(call: Call, runs: int) -> AsyncIterator[None]:
    # A call that provably did not run leaves the count of runs as it was.
    try:
        yield
    except (NotReachedError, DeclinedError):
        call.runs = runs
        raise


class Attempts:
    """Exchanges with backend servers and other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns.
    backends : BackendProtocol
        How backend servers are spoken to.
    placement : Placement
        Measures what a call adds to the load of its server.
    knowledge : Knowledge
        Takes what the exchanges show.
    """

    __slots__ = ('_backends', '_hop', '_http', '_known', '_placement')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        backends: BackendProtocol,
        placement: Placement,
        knowledge: Knowledge,
    ) -> None:
        """Keep the parts."""
        self._http = http
        self._backends = backends
        self._hop = HopProtocol()
        self._placement = placement
        self._known = knowledge

    async def run(
        self,
        call: Call,
        target: Target,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to ``target`` and pass the answer on.

        Returns
        -------
        FailedAnswer or None
            The answer if the server failed the call; ``None`` if the caller
            has its answer.

        Raises
        ------
        NotReachedError, DeclinedError
            If the call was not run.
        UnknownOutcomeError, TimeLimitError, StreamBrokenError
            If it may have run.
        """
        if target.prospect is None:
            return await self._run_away(call, target, responder)
        return await self._run_here(call, target.prospect, responder)

    async def _run_away(
        self,
        call: Call,
        target: Target,
        responder: Responder,
    ) -> FailedAnswer | None:
        left = measure_left(call, self._known.clock)
        outbound = self._hop.compose(call, target.address, left)
        runs = call.runs
        # Until the other gateway tells, all attempts may have been made.
        call.runs = call.attempts_left
        async with _uncounted(call, runs), open_exchange(
            self._http, outbound
        ) as response:
            call.runs = runs + self._hop.read_runs(response, call)
            verdict = self._hop.judge(call, response)
            return await self._conclude(
                call, response, verdict, responder, None
            )

    async def _run_here(
        self,
        call: Call,
        prospect: Prospect,
        responder: Responder,
    ) -> FailedAnswer | None:
        server = prospect.server
        demand = call.head.demand
        if demand is not None:
            self._known.prefixes.note(server.name, demand)
        load = self._placement.measure(call, prospect)
        runs = call.runs
        call.runs += 1
        with self._known.loads.hold(server.name, load) as held:
            try:
                async with _uncounted(call, runs):
                    failed = await self._exchange(call, server, responder, held)
            except NotReachedError:
                self._known.trust.suspect(server.name, 'not reached')
                raise
            except DeclinedError:
                raise
            except (UnknownOutcomeError, TimeLimitError) as lost:
                self._note_lost(server, lost)
                raise
            has_failed = failed is not None
            self._known.trust.note(server.name, has_failed=has_failed)
            return failed

    async def _exchange(
        self,
        call: Call,
        server: BackendServer,
        responder: Responder,
        held: HeldLoad,
    ) -> FailedAnswer | None:
        async with self._open(call, server) as response:
            verdict = self._backends.judge(call, response)
            if verdict is Verdict.misplaced:
                self._known.trust.suspect(server.name, 'other incarnation')
            return await self._conclude(
                call, response, verdict, responder, held
            )

    @asynccontextmanager
    async def _open(
        self,
        call: Call,
        server: BackendServer,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        left = measure_left(call, self._known.clock)
        outbound = Outbound(
            call.head.method,
            server.address,
            call.head.target,
            self._backends.compose_headers(call, server, left),
            call.body,
            left,
        )
        async with open_exchange(self._http, outbound) as response:
            yield response

    async def _conclude(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
        verdict: Verdict,
        responder: Responder,
        held: HeldLoad | None,
    ) -> FailedAnswer | None:
        if verdict in {Verdict.declined, Verdict.misplaced}:
            await read_whole(response)
            raise DeclinedError(f'declined with {response.status}')
        if verdict in {Verdict.foreign, Verdict.unknown}:
            raise UnknownOutcomeError('no answer to this request')
        if call.route.kind.is_streamed and verdict is Verdict.answered:
            relay = StreamRelay(self._backends, responder, held)
            await relay.run(call, response)
            return None
        headers = keep_end_to_end(response.headers.items())
        body = await read_whole(response)
        if verdict is Verdict.failed:
            return FailedAnswer(response.status, headers, body)
        await responder.send_whole(response.status, headers, body)
        return None

    def _note_lost(self, server: BackendServer, lost: Exception) -> None:
        self._known.trust.note(server.name, has_failed=True)
        if isinstance(lost, UnknownOutcomeError):
            self._known.trust.suspect(server.name, str(lost))
