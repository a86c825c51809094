"""Answers to gateways that ask for state.

Load pattern: all gateways of a region ask the few that know of a change at the
same moment, on links of some Mbit/s that also carry the calls.
"""

import zlib
from collections.abc import Mapping
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.fetching import (
    LONGEST_RETRY_AFTER,
    StateAnswer,
)
from baobabhinge_gateway.forwarding.snapshot import StoreRevisions
from baobabhinge_gateway.forwarding.snapshot_encoding import encode_snapshot
from baobabhinge_gateway.forwarding.snapshot_query import (
    SnapshotQuery,
    parse_query,
)
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics
from baobabhinge_gateway.neighbours import ByteBudget

# Bytes of state per second to all gateways together: a quarter of a link of
# 10 Mbit/s.
STATE_BYTE_RATE = 312_500
# Shorter bodies fit into one packet.
MIN_DEFLATED_BYTES = 1000
FASTEST_LEVEL = 1
# Retentions of servers are encoded as the time that is left of them.
REUSE_TIME = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class _Encoded(msgspec.Struct, frozen=True):
    """Answer that was encoded lately, and the state that it holds."""

    marks: StoreRevisions
    instant: timedelta
    answer: StateAnswer


class SnapshotSender:
    """Send this gateway's state to gateways that ask for it.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    metrics : StateMetrics
        Counts what is sent.
    """

    __slots__ = ('_budget', '_core', '_encoded', '_metrics', '_next_turn')

    def __init__(self, core: GatewayCore, metrics: StateMetrics) -> None:
        """Start with a full budget of bytes."""
        self._core = core
        self._metrics = metrics
        self._budget = ByteBudget(STATE_BYTE_RATE, core.ingress.clock)
        self._encoded: dict[SnapshotQuery, _Encoded] = {}
        self._next_turn = timedelta()

    def answer(self, query: Mapping[str, str], receiver: str) -> StateAnswer:
        """Return the state that a gateway lacks.

        Parameters
        ----------
        query : mapping of str to str
            Query of the request.
        receiver : str
            Address of the gateway that asks, for the log.
        """
        wanted = parse_query(query)
        answer = self._encode_once(wanted)
        length = len(answer.body)
        if not self._budget.try_spend(min(length, self._budget.capacity)):
            return StateAnswer(b'', retry_after=self._reserve_turn(length))
        part = wanted.since.name_part()
        self._metrics.record_sent(part, length)
        log.info('snapshot-sent', part=part, receiver=receiver, bytes=length)
        return answer

    def _reserve_turn(self, length: int) -> timedelta:
        """Return when to ask again; each gateway is told a later time."""
        now = self._core.ingress.clock.read_monotonic()
        step = self._budget.compute_time(length)
        self._next_turn = max(now, self._next_turn) + step
        return min(LONGEST_RETRY_AFTER, self._next_turn - now)

    def _encode_once(self, wanted: SnapshotQuery) -> StateAnswer:
        """Return an answer of the last ms again if it holds the same state."""
        now = self._core.ingress.clock.read_monotonic()
        marks = self._core.updater.revisions
        self._encoded = {
            query: encoded
            for query, encoded in self._encoded.items()
            if now - encoded.instant < REUSE_TIME and encoded.marks == marks
        }
        if wanted not in self._encoded:
            self._encoded[wanted] = _Encoded(marks, now, self._encode(wanted))
        return self._encoded[wanted].answer

    def _encode(self, wanted: SnapshotQuery) -> StateAnswer:
        body = encode_snapshot(self._core.updater, self._core.state, wanted)
        if not wanted.is_inflatable or len(body) < MIN_DEFLATED_BYTES:
            return StateAnswer(body)
        return StateAnswer(zlib.compress(body, FASTEST_LEVEL), is_deflated=True)
