"""Which releases are applied, and when the watcher reads the store."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.generations import Release, ReleaseFile
from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoreUnavailableError,
)
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.configuration.configuration_watcher import (
    INITIAL_RETRY_DELAY,
    NO_DELAY,
    ROLE_CHECK_INTERVAL,
    ConfigurationWatcher,
)
from baobabhinge_gateway.errors import NotConfiguredError

TEXT = """[region west]
failure-domains = west-a
[service llm]
kind = model
deadline = {seconds} s
[placement llm west]
replicas = 1 vms
"""
UNREADABLE = '[region west]\nfailure-domains = west-a\n[shape west]\n'


def build_release(generation, text=None):
    text = text or TEXT.format(seconds=generation)
    return Release(generation, (ReleaseFile('10.ini', text, generation),))


def get_deadline(active):
    return active.require_settings().services['llm'].deadline


@given(st.lists(st.integers(1, 9), min_size=1))
def test_generation_never_decreases(generations):
    """Releases may arrive in any order, as peers and the store send them."""
    active = ActiveConfiguration()
    highest = 0
    for generation in generations:
        is_newer = generation > highest
        assert active.adopt(build_release(generation)) is is_newer
        highest = max(highest, generation)
        assert active.generation == highest
        assert get_deadline(active) == timedelta(seconds=highest)


def test_unreadable_release_is_kept_but_not_applied():
    """Peers may be able to read it, so they must still receive it."""
    active = ActiveConfiguration()
    notified = []
    active.subscribe(lambda: notified.append(active.release.generation))
    active.adopt(build_release(1))
    assert not active.adopt(build_release(2, UNREADABLE))
    assert active.generation == 1
    assert get_deadline(active) == timedelta(seconds=1)
    assert active.release.generation == 2
    assert active.refusal.generation == 2
    assert [fault.line for fault in active.refusal.faults] == [1, 3]
    assert active.adopt(build_release(3))
    assert not active.refusal.generation
    assert notified == [1, 2, 3]


def test_settings_are_required_before_the_first_release():
    with pytest.raises(NotConfiguredError):
        ActiveConfiguration().require_settings()


class Reader:
    """Release reader that returns the given answers in order."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.has_manifest = False
        self.calls = []

    async def wait_for_newer(self, max_wait):
        return self._answer('watch')

    async def read_current(self):
        return self._answer('read')

    def _answer(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        self.has_manifest = isinstance(answer, Release)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Fleet:
    """Region with the given gateways, seen from gateway west-1."""

    def __init__(self, *names):
        self.own = Hop('west-1', 'west')
        self._names = names

    def list_gateways(self, region=None):
        return [NamedVm(name) for name in self._names]


class NamedVm:
    def __init__(self, name):
        self.name = name


SEED = 7
FIRST_RETRY = Random(SEED).random() * INITIAL_RETRY_DELAY
MANY = tuple(f'west-{number}' for number in range(1, 40))


@pytest.mark.parametrize(
    ('names', 'answer', 'delay', 'calls', 'generation'),
    [
        ((), build_release(1), NO_DELAY, ['watch'], 1),
        ((), build_release(1, UNREADABLE), NO_DELAY, ['watch'], 0),
        ((), None, ROLE_CHECK_INTERVAL, ['watch'], 0),
        ((), StoreUnavailableError(), FIRST_RETRY, ['watch'], 0),
        (MANY, build_release(1), ROLE_CHECK_INTERVAL, ['read'], 1),
        (MANY, StoreAnswerLostError(), FIRST_RETRY, ['read'], 0),
    ],
)
def test_one_step_of_the_watcher(names, answer, delay, calls, generation):
    """A step reads or watches the store and returns the delay to the next."""
    active = ActiveConfiguration()
    reader = Reader(answer)
    watcher = ConfigurationWatcher(
        active,
        reader,
        Fleet(*names),
        Random(SEED),
    )
    assert asyncio.run(watcher._update_configuration()) == delay
    assert reader.calls == calls
    assert active.generation == generation


def test_configured_gateway_that_is_no_watcher_does_not_read_the_store():
    """All gateways reading the store would exceed its rate of reads."""
    active = ActiveConfiguration()
    active.adopt(build_release(1))
    reader = Reader()
    watcher = ConfigurationWatcher(active, reader, Fleet(*MANY), Random())
    assert asyncio.run(watcher._update_configuration()) == ROLE_CHECK_INTERVAL
    assert not reader.calls
