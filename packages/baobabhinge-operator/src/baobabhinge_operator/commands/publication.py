"""Publication of changes in the key-value service."""

import asyncio
import uuid
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from datetime import timedelta

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.generations import (
    FileChange,
    Publication,
    Publisher,
    PublishRequest,
    PublishUnavailableError,
    ReleaseFile,
)
from baobabhinge_coordination.store import KeyValueStore, StoreError
from baobabhinge_operator.operator_settings import read_operator_settings
from baobabhinge_settings import SourceFile, merge_files


@contextmanager
def convert_store_errors() -> Iterator[None]:
    """Convert store errors to an error that says that nothing was published.

    Raises
    ------
    PublishUnavailableError
        If the key-value service fails while the context is open.
    """
    try:
        yield
    except StoreError as error:
        raise PublishUnavailableError(str(error)) from error


def build_request(
    changes: Iterable[FileChange],
    publish_id: str | None = None,
    above: int = 0,
) -> PublishRequest:
    """Return a request by this operator, by default with a new identifier."""
    return PublishRequest(
        publish_id or uuid.uuid4().hex,
        read_operator_settings().publisher,
        tuple(changes),
        above,
    )


def check_merged(files: Sequence[ReleaseFile]) -> None:
    """Check that the files can be merged.

    Raises
    ------
    SettingsError
        If they have faults; it lists all of them.
    """
    merge_files(SourceFile(listed.name, listed.text) for listed in files)


async def publish_request(store: KeyValueStore, request: PublishRequest) -> str:
    """Publish a request and return the message of the command."""
    publisher = Publisher(store, check_merged, SystemClock(), _sleep)
    accepted = await publisher.publish(request)
    return _describe_result(request, accepted)


def describe_publication(accepted: Publication) -> str:
    """Return the message of a command for an accepted publication."""
    return f'accepted as generation {accepted.generation}'


def _describe_result(request: PublishRequest, accepted: Publication) -> str:
    if accepted.publish_id == request.publish_id:
        return describe_publication(accepted)
    return f'nothing to change; generation {accepted.generation} is in force'


async def _sleep(duration: timedelta) -> None:
    await asyncio.sleep(duration.total_seconds())
