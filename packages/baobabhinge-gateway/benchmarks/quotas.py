"""Bytes and processor time that quotas cost one gateway.

The other gateways of its region are simulated by their encoded statements; no
socket is used. The gateway keeps an equal part of the accounts.

Run after ``source bin/environment`` as
``python packages/baobabhinge-gateway/benchmarks/quotas.py 9 83 195 300 1000``.
"""

import sys
import time
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.neighbours.pacing import compute_interval
from baobabhinge_gateway.quotas.credit_table import CreditTable
from baobabhinge_gateway.quotas.elections import Election, Roster
from baobabhinge_gateway.quotas.messages import Report, Statement
from baobabhinge_gateway.quotas.policy import RegionQuota
from baobabhinge_gateway.quotas.section import QuotaParts, QuotaSection

REGIONS = 3
WORKSPACES = 16
# Of all gateways; one that serves few calls a second uses as many workspaces.
ACTIVE = 10
CALL_TOKENS = 360
SPAN = timedelta(seconds=30)
WARM_UP = timedelta(seconds=10)
OWN = SectionSender('own', 'west', 'fedcba9876543210')
# Of 36,000 tokens a second, with the default tolerance.
PART = RegionQuota(8, 12_000, 43_861, 10_965, 480)
QUOTAS = {f'workspace-{number}': PART for number in range(WORKSPACES)}


class Rosters:
    """Gateways of the region, all of which are live."""

    __slots__ = ('_roster',)

    def __init__(self, peers: list[SectionSender]) -> None:
        """Store the gateways."""
        names = frozenset(peer.name for peer in (OWN, *peers))
        self._roster = Roster(names, names)

    def read(self) -> Roster:
        """Return the gateways."""
        return self._roster


class Measure:
    """One gateway, and what it has sent.

    Parameters
    ----------
    gateways : int
        Gateways of all regions together.
    """

    __slots__ = (
        '_clock',
        '_interval',
        '_peers',
        '_section',
        'messages',
        'sections',
    )

    def __init__(self, gateways: int) -> None:
        """Build the gateway."""
        size = max(1, gateways // REGIONS)
        self._clock = ManualClock()
        self._interval = compute_interval(size)
        self._peers = [
            SectionSender(f'peer-{number}', 'west', '0123456789abcdef')
            for number in range(size - 1)
        ]
        self._section = QuotaSection(
            QuotaParts(
                OWN,
                self._clock,
                Election(OWN, Rosters(self._peers)),
                CreditTable(lambda: QUOTAS),
            ),
            self._record,
        )
        self.sections: list[int] = []
        self.messages: list[int] = []

    def play(self, span: timedelta) -> None:
        """Receive the statements of the others, and compose the own ones."""
        for _ in range(span // self._interval):
            self._clock.advance(self._interval)
            payload = msgspec.msgpack.encode(self._state())
            for peer in self._peers:
                self._section.receive(peer, payload)
            # It has no use of its own; its reports are as long as the others'.
            composed = self._section.compose('west') or b''
            self.sections.append(len(composed) + len(payload))

    def count_messages(self) -> float:
        """Return how many messages were sent in a second."""
        return len(self.messages) / SPAN.total_seconds()

    def _state(self) -> Statement:
        """Return what each other gateway states at this time."""
        now = self._clock.read_monotonic()
        rate = PART.rate / (1 + len(self._peers))
        used = round(now.total_seconds() * rate) // CALL_TOKENS * CALL_TOKENS
        return Statement(
            now // timedelta(milliseconds=1),
            reports=[
                Report(workspace, used) for workspace in tuple(QUOTAS)[:ACTIVE]
            ],
        )

    def _record(self, payload: bytes, name: str) -> None:
        self.messages.append(len(payload))


def main(counts: list[str]) -> None:
    """Print one line for each number of gateways."""
    for gateways in map(int, counts):
        sys.stdout.write(f'{gateways} gateways: {describe(gateways)}\n')


def describe(gateways: int) -> str:
    """Return what quotas cost one gateway."""
    measure = Measure(gateways)
    measure.play(WARM_UP)
    measure.sections.clear()
    measure.messages.clear()
    begin = time.process_time()
    measure.play(SPAN)
    used = (time.process_time() - begin) / SPAN.total_seconds()
    return ', '.join(
        (
            f'{used:.4f} of a core',
            f'{average(measure.sections)} bytes in a heartbeat',
            f'{measure.count_messages():.1f} messages/s',
            f'{average(measure.messages)} bytes each',
        )
    )


def average(sizes: list[int]) -> int:
    """Return the mean of some sizes, rounded."""
    return round(sum(sizes) / max(1, len(sizes)))


if __name__ == '__main__':
    main(sys.argv[1:])
