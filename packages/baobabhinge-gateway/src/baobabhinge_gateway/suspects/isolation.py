"""Keeping suspects apart, and refusing culprits."""

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
    """What happens around each attempt of a completion.

    Parameters
    ----------
    region : str
        Region of this gateway; suspects do not leave it.
    ledger : SuspectLedger
        Crashes of the region.
    detector : CrashDetector
        Calls in flight by engine.
    turns : SuspectTurns
        Turns of the suspects.
    claims : RegionClaims
        Claims of the suspects in the region.
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
        """Keep the parts."""
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
        """Return the candidate to try, the best one unless it is a suspect.

        Raises
        ------
        CrashingRequestError
            If the call is known to crash engines.
        """
        if self._judge(call) is SuspectVerdict.suspect:
            return self._turns.choose(candidates)
        return candidates[0] if candidates else None

    @asynccontextmanager
    async def guard(
        self,
        call: Call,
        candidate: Candidate,
        patience: timedelta,
    ) -> AsyncIterator[None]:
        """Run one attempt while the context is open.

        Parameters
        ----------
        call : Call
            The call.
        candidate : Candidate
            Where it is run.
        patience : timedelta
            Time left until its deadline.

        Raises
        ------
        EngineCrashedError
            If the engine died under it.
        CrashingRequestError
            If the call turned out to crash engines while it waited.
        """
        if candidate.target.is_remote or not _is_model(call):
            yield
        elif self._judge(call) is SuspectVerdict.suspect:
            async with self._take_turn(call, candidate, patience):
                async with self._examine(call, candidate):
                    yield
            self._ledger.clear(fingerprint_call(call, self._region))
        else:
            async with self._examine(call, candidate):
                yield

    def _judge(self, call: Call) -> SuspectVerdict:
        if not _is_model(call):
            return SuspectVerdict.clear
        verdict = self._ledger.classify(fingerprint_call(call, self._region))
        if verdict is SuspectVerdict.culprit:
            raise CrashingRequestError(Outcome.not_run)
        return verdict

    @asynccontextmanager
    async def _take_turn(
        self,
        call: Call,
        candidate: Candidate,
        patience: timedelta,
    ) -> AsyncIterator[None]:
        fingerprint = fingerprint_call(call, self._region)
        engine = candidate.target.vm.name
        async with self._claims.hold(fingerprint, patience):
            self._judge(call)
            turn = self._turns.hold(engine, patience)
            async with turn, self._claims.hold_engine(engine, patience):
                self._judge(call)
                yield

    @asynccontextmanager
    async def _examine(
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
