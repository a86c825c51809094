"""One publication at a time, with a failure of the service at each step."""

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import (
    AuditReader,
    BaseUnknownError,
    Publication,
    PublishUnavailableError,
    PublishUnknownError,
    compute_digest,
)
from baobabhinge_coordination.generations.attempts import PublishAttempt
from baobabhinge_coordination.generations.audit import (
    AUDIT_PREFIX,
    AUDIT_RETENTION_GENERATIONS,
)
from baobabhinge_coordination.generations.changes import plan_manifest
from baobabhinge_coordination.generations.manifest import (
    BODY_PREFIX,
    MANIFEST_KEY,
)
from baobabhinge_coordination.generations.manifest_writer import ManifestWriter
from baobabhinge_coordination.generations.tests.builders import (
    build_request,
    publish_alone,
    read_manifest,
    run_alone,
)
from baobabhinge_coordination.generations.tests.memory import (
    ANSWER_LOST,
    NO_FAULT,
    REFUSED,
    TAKES_EFFECT_LATE,
    MemoryStore,
)

REQUEST = build_request('a', {'10.ini': 'x'}, {})


@pytest.mark.parametrize(
    ('fault', 'outcome', 'generation'),
    [
        (REFUSED, PublishUnavailableError, 0),
        (ANSWER_LOST, Publication, 1),
        (TAKES_EFFECT_LATE, Publication, 1),
    ],
)
def test_swap_of_the_manifest_fails_once(fault, outcome, generation):
    faults = iter([fault])
    store = MemoryStore(
        lambda method, key: (
            next(faults, NO_FAULT)
            if (method, key) == ('swap', MANIFEST_KEY)
            else NO_FAULT
        ),
    )
    assert isinstance(publish_alone(store, REQUEST), outcome)
    assert read_manifest(store).generation == generation
    assert store.swapped_keys.count(MANIFEST_KEY) == generation


@pytest.mark.parametrize(
    ('method', 'prefix', 'fault'),
    [
        ('read', MANIFEST_KEY, REFUSED),
        ('swap', BODY_PREFIX, REFUSED),
        ('swap', BODY_PREFIX, ANSWER_LOST),
        ('swap', AUDIT_PREFIX, TAKES_EFFECT_LATE),
        ('read', AUDIT_PREFIX, REFUSED),
    ],
)
def test_failure_before_the_swap_changes_nothing(method, prefix, fault):
    def draw_fault(called, key):
        meant = called == method and key.startswith(prefix)
        return fault if meant else NO_FAULT

    store = MemoryStore(draw_fault)
    assert isinstance(publish_alone(store, REQUEST), PublishUnavailableError)
    assert not store.swapped_keys.count(MANIFEST_KEY)


def test_outcome_is_unknown_when_the_service_stays_away_after_the_swap():
    swapped_keys = []

    def draw_fault(method, key):
        if swapped_keys:
            return REFUSED
        if (method, key) == ('swap', MANIFEST_KEY):
            swapped_keys.append(key)
            return ANSWER_LOST
        return NO_FAULT

    outcome = publish_alone(MemoryStore(draw_fault), REQUEST)
    assert isinstance(outcome, PublishUnknownError)
    assert outcome.publish_id == REQUEST.publish_id


def test_outcome_is_unknown_while_a_late_swap_may_come():
    def draw_fault(method, key):
        if method != 'swap' or not store.delayed_effects:
            is_swap = (method, key) == ('swap', MANIFEST_KEY)
            return TAKES_EFFECT_LATE if is_swap else NO_FAULT
        return REFUSED

    store = MemoryStore(draw_fault)
    outcome = publish_alone(store, REQUEST)
    assert isinstance(outcome, PublishUnknownError)
    assert read_manifest(store).publish_id == REQUEST.publish_id


def test_publishing_again_with_the_same_identifier_changes_nothing():
    store = MemoryStore()
    first = publish_alone(store, REQUEST)
    publish_alone(store, build_request('b', {'20.ini': 'y'}, {}))
    assert publish_alone(store, REQUEST) == first
    assert read_manifest(store).generation == 2


def test_refused_whole_changes_nothing():
    store = MemoryStore()

    def refuse(files):
        raise ValueError([listed.name for listed in files])

    publish_alone(store, REQUEST)
    request = build_request('b', {'20.ini': 'y'}, {})
    outcome = publish_alone(store, request, refuse)
    assert outcome.args == (['10.ini', '20.ini'],)
    assert read_manifest(store).generation == 1


def test_unused_bodies_and_old_records_are_swept():
    store = MemoryStore()
    digests = {}
    for number in range(AUDIT_RETENTION_GENERATIONS + 200):
        edits = {'10.ini': str(number)}
        publish_alone(store, build_request(f'p{number}', edits, digests))
        digests = {'10.ini': compute_digest(str(number))}
    bodies = [key for key in store.rows if key.startswith(BODY_PREFIX)]
    records = [key for key in store.rows if key.startswith(AUDIT_PREFIX)]
    assert len(bodies) == 1
    assert len(records) == AUDIT_RETENTION_GENERATIONS + 1


def test_body_that_is_taken_up_again_is_not_swept():
    store = MemoryStore()
    body = f'{BODY_PREFIX}{compute_digest("x")}'
    publish_alone(store, build_request('a', {'10.ini': 'w'}, {}))
    run_alone(store, store.swap(body, b'{"text":"x","writer":"lost"}', 0))
    manifest = read_manifest(store)
    request = build_request('b', {'20.ini': 'y'}, {})
    _, revision = store.rows[MANIFEST_KEY]
    attempt = PublishAttempt(
        request, manifest, plan_manifest(manifest, request), revision, 0
    )
    writer = ManifestWriter(store, ManualClock())
    run_alone(store, writer.prepare(attempt))
    assert run_alone(store, writer.swap(attempt))
    publish_alone(store, build_request('c', {'30.ini': 'x'}, {}))
    run_alone(store, writer.delete_unused())
    assert read_manifest(store).publish_id == 'c'
    assert body in store.rows


def test_generation_goes_on_above_a_given_one():
    request = build_request('a', {'10.ini': 'x'}, {}, above=41)
    assert publish_alone(MemoryStore(), request) == Publication(42, 'a')


def test_records_tell_who_changed_what():
    store = MemoryStore()
    digest = compute_digest('x')
    publish_alone(store, REQUEST)
    publish_alone(
        store, build_request('b', {'10.ini': None}, {'10.ini': digest})
    )
    reader = AuditReader(store)
    newest, oldest = run_alone(store, reader.read_last(5))
    assert (newest.author, newest.to_generation) == ('author-b', 2)
    assert (newest.files[0].before, newest.files[0].after) == (digest, '')
    assert (oldest.author, oldest.from_generation) == ('author-a', 0)
    assert run_alone(store, reader.read_digests(1)) == {'10.ini': digest}


def test_base_that_the_records_do_not_reach_is_refused():
    store = MemoryStore()
    publish_alone(store, build_request('a', {'10.ini': 'x'}, {}, above=41))
    outcome = run_alone(store, AuditReader(store).read_digests(7))
    assert isinstance(outcome, BaseUnknownError)
