"""One publication at a time, with faults of the key-value service."""

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
def test_manifest_is_swapped_at_most_once_after_one_fault(
    fault, outcome, generation
):
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
def test_store_fault_before_the_swap_changes_nothing(method, prefix, fault):
    def draw_fault(called, key):
        is_faulty = called == method and key.startswith(prefix)
        return fault if is_faulty else NO_FAULT

    store = MemoryStore(draw_fault)
    assert isinstance(publish_alone(store, REQUEST), PublishUnavailableError)
    assert not store.swapped_keys.count(MANIFEST_KEY)


def test_outcome_is_unknown_if_the_store_fails_after_a_lost_answer():
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


def test_outcome_is_unknown_while_a_delayed_swap_may_take_effect():
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


def test_refused_merged_files_change_nothing():
    store = MemoryStore()

    def refuse(files):
        raise ValueError([listed.name for listed in files])

    publish_alone(store, REQUEST)
    request = build_request('b', {'20.ini': 'y'}, {})
    outcome = publish_alone(store, request, refuse)
    assert outcome.args == (['10.ini', '20.ini'],)
    assert read_manifest(store).generation == 1


def test_unused_bodies_and_old_records_are_deleted():
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


def test_body_that_is_used_again_is_not_deleted():
    """A sweep must not delete a text that a newer manifest refers to.

    Publication b lists the text as unused and swaps the manifest; then c
    publishes the same text before b deletes what it listed.
    """
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


def test_generation_is_above_the_requested_bound():
    request = build_request('a', {'10.ini': 'x'}, {}, above=41)
    assert publish_alone(MemoryStore(), request) == Publication(42, 'a')


def test_audit_records_name_authors_and_changed_files():
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


def test_base_older_than_the_records_is_refused():
    store = MemoryStore()
    publish_alone(store, build_request('a', {'10.ini': 'x'}, {}, above=41))
    outcome = run_alone(store, AuditReader(store).read_digests(7))
    assert isinstance(outcome, BaseUnknownError)
