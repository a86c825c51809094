"""Deltas bring peers with an older release to the newest one."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_coordination.generations import (
    Manifest,
    Publication,
    Release,
    ReleaseReader,
    apply_delta,
    build_delta,
    compute_digest,
)
from baobabhinge_coordination.generations.changes import plan_manifest
from baobabhinge_coordination.generations.tests.builders import build_request
from baobabhinge_coordination.generations.tests.memory import MemoryStore
from baobabhinge_coordination.generations.tests.test_races import EDITS


def build_release(manifest, texts):
    reader = ReleaseReader(MemoryStore())
    reader._texts = {compute_digest(text): text for text in texts}
    return asyncio.run(reader.load(manifest))


def list_releases(all_edits):
    """Return the releases that result from edits of files, in order."""
    manifest = Manifest()
    releases = [Release()]
    for number, edits in enumerate(all_edits):
        digests = {listed.name: listed.digest for listed in manifest.files}
        request = build_request(str(number), edits, digests)
        manifest = plan_manifest(manifest, request)
        releases.append(build_release(manifest, ('x', 'y', 'z')))
    return releases


@given(st.lists(EDITS, max_size=12), st.data())
def test_delta_results_in_newest_release_without_unchanged_files(
    all_edits, drawn
):
    releases = list_releases(all_edits)
    older = drawn.draw(st.sampled_from(releases))
    newer = releases[-1]
    delta = build_delta(newer, older.publication)
    assert apply_delta(older, delta) == newer
    if older.generation:
        assert not set(delta.files).intersection(older.files)


def test_delta_from_unknown_publication_is_complete_release():
    release = Release(3, (), (), (Publication(2, 'x'), Publication(3, 'y')))
    assert not build_delta(release, Publication(2, 'other')).since.generation
    assert build_delta(release, Publication(2, 'x')).since.generation == 2
