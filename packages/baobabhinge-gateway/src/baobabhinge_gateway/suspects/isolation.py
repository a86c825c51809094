"""Isolation of requests that may crash engines, refusal of those that do."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

from baobabhinge_coordination.suspects import SuspectLedger, SuspectVerdict
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import (
    CrashingRequestError,
    EngineCrashedError,
    Outcome,
)
from baobabhinge_gateway.routing import Candidate
from baobabhinge_gateway.suspects.crash_detector import CrashDetector
from baobabhinge_gateway.suspects.fingerprints import fingerprint_call
from baobabhinge_gateway.suspects.region_claims import RegionClaims
from baobabhinge_gateway.suspects.turns import SuspectTurns
from baobabhinge_settings.model import ServiceKind


class Isolation:
    """Isolation of the attempts of a completion.

    A suspect may have crashed an engine, and runs alone. A culprit is known
    to crash engines, and is refused.

    Parameters
    ----------
    region : str
        Region of this gateway; suspects are not sent to other regions.
    ledger : SuspectLedger
        Known crashes of the region.
    detector : CrashDetector
        Calls in flight by engine; records crashes.
    turns : SuspectTurns
        Turns of suspects on the engines, within this gateway.
    claims : RegionClaims
        Claims of suspects and engines, within the region.
    """

    __slots__ = ('_claims', '_detector', '_ledger', '_region', '_turns')

    def __init__(
        self,
        region: str,
        ledger: SuspectLedger,
        detector: CrashDetector,
        turns: SuspectTurns,
        claims: RegionClaims,
    ) -> None:
        """Store the collaborators."""
        self._claims = claims
        self._region = region
        self._ledger = ledger
        self._detector = detector
        self._turns = turns

    def choose(
        self,
        call: Call,
        candidates: Sequence[Candidate],
    ) -> Candidate | None:
        """Return the best candidate, or for a suspect the one to run it on.

        Raises
        ------
        CrashingRequestError
            If the call is known to crash engines.
        """
        if self._classify(call) is SuspectVerdict.suspect:
            return self._turns.choose(candidates)
        return candidates[0] if candidates else None

    @asynccontextmanager
    async def guard(
        self,
        call: Call,
        candidate: Candidate,
        time_left: timedelta,
    ) -> AsyncIterator[None]:
        """Isolate a suspect, and detect a crash, while the context is open.

        A suspect first waits for its claim and its turn; a run without a
        crash clears it of suspicion.

        Parameters
        ----------
        call : Call
            The call.
        candidate : Candidate
            Target of the attempt.
        time_left : timedelta
            Time left until the deadline of the call.

        Raises
        ------
        EngineCrashedError
            If the engine crashed during the attempt.
        CrashingRequestError
            If the call became a culprit while it waited.
        """
        if candidate.target.is_remote or not _is_model(call):
            yield
        elif self._classify(call) is SuspectVerdict.suspect:
            async with self._run_isolated(call, candidate, time_left):
                async with self._run_tracked(call, candidate):
                    yield
            self._ledger.clear(fingerprint_call(call, self._region))
        else:
            async with self._run_tracked(call, candidate):
                yield

    def _classify(self, call: Call) -> SuspectVerdict:
        if not _is_model(call):
            return SuspectVerdict.clear
        verdict = self._ledger.classify(fingerprint_call(call, self._region))
        if verdict is SuspectVerdict.culprit:
            raise CrashingRequestError(Outcome.not_run)
        return verdict

    @asynccontextmanager
    async def _run_isolated(
        self,
        call: Call,
        candidate: Candidate,
        time_left: timedelta,
    ) -> AsyncIterator[None]:
        fingerprint = fingerprint_call(call, self._region)
        engine = candidate.target.vm.name
        async with self._claims.hold(fingerprint, time_left):
            self._classify(call)
            turn = self._turns.hold(engine, time_left)
            async with turn, self._claims.hold_engine(engine, time_left):
                self._classify(call)
                yield

    @asynccontextmanager
    async def _run_tracked(
        self,
        call: Call,
        candidate: Candidate,
    ) -> AsyncIterator[None]:
        vm = candidate.target.vm
        fingerprint = fingerprint_call(call, self._region)
        running = self._claims.track_run(fingerprint)
        try:
            with running, self._detector.track(vm, fingerprint):
                async with self._detector.detect_crash(vm):
                    yield
        except EngineCrashedError:
            await self._claims.notify_crashes()
            raise


def _is_model(call: Call) -> bool:
    return call.service.kind is ServiceKind.model
