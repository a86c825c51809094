"""Builders of requests and publishers for the tests of this folder."""

import asyncio

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import (
    FileChange,
    Manifest,
    Publisher,
    PublishRequest,
)
from baobabhinge_coordination.generations.manifest import MANIFEST_KEY
from baobabhinge_coordination.generations.tests.memory import run_interleaved


def read_manifest(store):
    body, _ = store.rows.get(MANIFEST_KEY, (b'', 0))
    return msgspec.json.decode(body, type=Manifest) if body else Manifest()


def accept_all(files):
    """Accept any files."""


async def skip_sleep(duration):
    await asyncio.sleep(0)


def build_publisher(store, check=accept_all):
    return Publisher(store, check, ManualClock(), skip_sleep)


def build_request(publish_id, edits, digests, above=0):
    changes = tuple(
        FileChange(name, digests.get(name, ''), text)
        for name, text in edits.items()
    )
    return PublishRequest(publish_id, f'author-{publish_id}', changes, above)


def run_alone(store, coroutine):
    """Return the outcome of one coroutine with no other one running."""

    async def run():
        return await run_interleaved(store, lambda count: 0, coroutine)

    return asyncio.run(run())[0]


def publish_alone(store, request, check=accept_all):
    return run_alone(store, build_publisher(store, check).publish(request))
