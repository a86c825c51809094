"""Concurrent publications with faults of the store, in any order."""

import asyncio

import pytest
from hypothesis import event, given, settings
from hypothesis import strategies as st

from baobabhinge_coordination.generations import (
    Publication,
    PublishConflictError,
    PublishRacedError,
    PublishUnavailableError,
    PublishUnknownError,
    compute_digest,
)
from baobabhinge_coordination.generations.manifest import BODY_PREFIX
from baobabhinge_coordination.generations.tests.builders import (
    build_publisher,
    build_request,
    publish_alone,
    read_manifest,
)
from baobabhinge_coordination.generations.tests.memory import (
    FAULTS,
    NO_FAULT,
    MemoryStore,
    run_interleaved,
)

NAMES = st.sampled_from(('10.ini', '20.ini', '30.ini'))
TEXTS = st.one_of(st.none(), st.sampled_from(('x', 'y', 'z')))
EDITS = st.dictionaries(NAMES, TEXTS, min_size=1)
NOT_ACCEPTED = (
    PublishConflictError,
    PublishRacedError,
    PublishUnavailableError,
)


class CheckedStore(MemoryStore):
    """Checks after each write that a changed manifest has a higher generation.

    All bodies that the manifest refers to must exist as well."""

    def _swap(self, key, body, expected):
        before = read_manifest(self)
        done = super()._swap(key, body, expected)
        self._check(before)
        return done

    def _delete(self, key, expected):
        before = read_manifest(self)
        done = super()._delete(key, expected)
        self._check(before)
        return done

    def _check(self, before):
        manifest = read_manifest(self)
        assert manifest == before or manifest.generation > before.generation
        for listed in manifest.files:
            assert f'{BODY_PREFIX}{listed.digest}' in self.rows


class DrawnSchedule:
    """Faults and the order of calls, drawn by Hypothesis."""

    def __init__(self, drawn):
        self._drawn = drawn
        self._faulty_calls = drawn.draw(st.integers(0, 12), 'faulty calls')

    def draw_fault(self, method, key):
        if not self._faulty_calls:
            return NO_FAULT
        self._faulty_calls -= 1
        return self._drawn.draw(st.sampled_from(FAULTS), 'fault')

    def draw_index(self, count):
        return self._drawn.draw(st.integers(0, count - 1), 'turn')


def check_outcome(manifest, request, outcome):
    """Check that an outcome agrees with the manifest in the store."""
    event(type(outcome).__name__)
    accepted = manifest.find_publication(request.publish_id)
    if isinstance(outcome, NOT_ACCEPTED):
        assert accepted is None
    elif not isinstance(outcome, PublishUnknownError):
        assert isinstance(outcome, Publication), outcome
        assert outcome.publish_id != request.publish_id or accepted == outcome


def replay(manifest, requests):
    """Return the digests that result from the accepted requests, in order.

    Each change has to start from the text in force, or to change nothing.
    """
    by_id = {request.publish_id: request for request in requests}
    digests = {}
    for publication in manifest.history:
        for change in by_id[publication.publish_id].changes:
            in_force = digests.get(change.name, '')
            assert in_force in {change.before, change.after}
            digests[change.name] = change.after
    return {name: digest for name, digest in digests.items() if digest}


@settings(max_examples=400, deadline=None)
@given(st.lists(EDITS, min_size=2, max_size=4), st.data())
def test_races_and_faults_lose_and_repeat_no_publication(all_edits, drawn):
    """No outcome reports acceptance or refusal wrongly, and no text is lost.

    Up to 12 calls are refused, lose their answers or take effect late, while
    two to four publishers race in an order that Hypothesis draws.
    """
    store = CheckedStore()
    first = build_request('first', {'10.ini': 'w'}, {})
    publish_alone(store, first)
    schedule = DrawnSchedule(drawn)
    store.draw_fault = schedule.draw_fault
    digests = {'10.ini': compute_digest('w')}
    requests = [
        build_request(str(number), edits, digests)
        for number, edits in enumerate(all_edits)
    ]

    async def run():
        publications = [
            build_publisher(store).publish(request) for request in requests
        ]
        return await run_interleaved(store, schedule.draw_index, *publications)

    outcomes = asyncio.run(run())
    manifest = read_manifest(store)
    for request, outcome in zip(requests, outcomes, strict=True):
        check_outcome(manifest, request, outcome)
    found = {listed.name: listed.digest for listed in manifest.files}
    assert found == replay(manifest, [first, *requests])


async def test_aborted_run_leaves_no_task():
    store = MemoryStore()

    def abort(count):
        raise LookupError

    with pytest.raises(LookupError):
        await run_interleaved(store, abort, store.read('a'), store.read('b'))
    assert asyncio.all_tasks() == {asyncio.current_task()}
