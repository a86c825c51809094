"""Which faults happen when: drawn from a seed before the start."""

import enum
from collections.abc import Mapping, Sequence
from datetime import timedelta
from random import Random

import msgspec

SHORTEST_ROUND = timedelta(seconds=3)
LONGEST_ROUND = timedelta(seconds=8)
SHORTEST_PAUSE = timedelta(seconds=1)
LONGEST_PAUSE = timedelta(seconds=4)
FAULTS_AT_A_TIME = 2


class TargetKind(enum.StrEnum):
    """What a fault befalls."""

    gateway = 'gateway'
    backend = 'backend'
    region = 'region'
    deployment = 'deployment'


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault and its target."""

    name: str
    target: str


class Round(msgspec.Struct, frozen=True):
    """Faults that happen together, then a time without any.

    Parameters
    ----------
    faults : tuple of PlannedFault
        What happens.
    lasts, pause : timedelta
        Time with the faults and time without.
    """

    faults: tuple[PlannedFault, ...]
    lasts: timedelta
    pause: timedelta

    def describe(self) -> str:
        """Return one line of text."""
        names = [f'{fault.name} {fault.target}' for fault in self.faults]
        faults = ' + '.join(names)
        seconds = round(self.lasts.total_seconds(), 1)
        pause = round(self.pause.total_seconds(), 1)
        return f'{seconds} s of {faults}, then {pause} s without'


def draw_schedule(
    random: Random,
    kinds: Mapping[str, TargetKind],
    targets: Mapping[TargetKind, Sequence[str]],
    span: timedelta,
) -> list[Round]:
    """Return rounds that fill ``span``.

    Parameters
    ----------
    random : Random
        Generator with the seed of the soak.
    kinds : mapping of str to TargetKind
        Faults by name, and what each befalls.
    targets : mapping of TargetKind to sequence of str
        Possible targets.
    span : timedelta
        Time to fill.
    """
    rounds = []
    left = span
    while left > timedelta():
        drawn = _draw_round(random, kinds, targets)
        rounds.append(drawn)
        left -= drawn.lasts + drawn.pause
    return rounds


def _draw_round(
    random: Random,
    kinds: Mapping[str, TargetKind],
    targets: Mapping[TargetKind, Sequence[str]],
) -> Round:
    names = random.sample(sorted(kinds), FAULTS_AT_A_TIME)
    return Round(
        tuple(
            PlannedFault(name, random.choice(targets[kinds[name]]))
            for name in names
        ),
        _draw_span(random, SHORTEST_ROUND, LONGEST_ROUND),
        _draw_span(random, SHORTEST_PAUSE, LONGEST_PAUSE),
    )


def _draw_span(
    random: Random,
    shortest: timedelta,
    longest: timedelta,
) -> timedelta:
    return shortest + (longest - shortest) * random.random()
