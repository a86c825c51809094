"""Errors of publications, and of reading a release."""

from collections.abc import Sequence

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.store import StoreError


class BodyMissingError(StoreError):
    """A listed text was deleted: a newer manifest replaced the one read."""


class PublishError(CoordinationError):
    """Base of the errors of publications that may not be accepted."""


class PublishConflictError(PublishError):
    """Another publication changed the same files; nothing was changed.

    Parameters
    ----------
    names : sequence of str
        Files that both publications changed.
    generation : int
        Generation in force, which contains the other change.
    """

    def __init__(self, names: Sequence[str], generation: int) -> None:
        """Build the message from the files and the generation."""
        self.names = tuple(names)
        self.generation = generation
        listed = ', '.join(self.names)
        super().__init__(
            f'{listed}: changed by someone else in generation {generation} or'
            ' before; nothing was published. Compare with "baobabhinge diff",'
            ' take over what you want to keep, then publish again with'
            f' --base={generation}',
        )


class PublishRacedError(PublishError):
    """Another publication came first in every attempt; no change made."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__(
            'other publications were accepted first in every attempt; nothing'
            ' was published; publish again',
        )


class PublishUnavailableError(PublishError):
    """The key-value service failed before anything was changed.

    Parameters
    ----------
    reason : str
        Failure of the service.
    """

    def __init__(self, reason: str) -> None:
        """Build the message from the reason."""
        super().__init__(
            f'the key-value service does not answer ({reason}); nothing was'
            ' published; publish again later',
        )


class PublishUnknownError(PublishError):
    """The publication may have been accepted.

    Parameters
    ----------
    publish_id : str
        Identifier to publish again with.
    """

    def __init__(self, publish_id: str) -> None:
        """Build the message from the identifier."""
        self.publish_id = publish_id
        super().__init__(
            'the key-value service did not report whether the publication was'
            f' accepted; publish again with --publish-id={publish_id}: it is'
            ' then accepted at most once',
        )


class BaseUnknownError(PublishError):
    """The audit records do not reach back to the base generation."""

    def __init__(self, generation: int) -> None:
        """Build the message from the base generation."""
        super().__init__(
            f'the audit records do not reach back to generation {generation};'
            ' compare with "baobabhinge diff" and publish without --base',
        )
