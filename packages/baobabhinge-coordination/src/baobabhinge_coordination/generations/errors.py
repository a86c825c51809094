"""Publications that were not accepted."""

from collections.abc import Sequence

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.store import StoreError


class BodyMissingError(StoreError):
    """A text of the manifest is gone: a newer manifest has replaced it."""


class PublishError(CoordinationError):
    """Base of the publications that were not accepted, or perhaps not."""


class PublishConflictError(PublishError):
    """Another publication changed the same files; nothing was changed.

    Parameters
    ----------
    names : sequence of str
        Files that both changed.
    generation : int
        Generation in force, which holds the other texts.
    """

    def __init__(self, names: Sequence[str], generation: int) -> None:
        """Name the files and say what to do."""
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
    """Too many other publications came first; nothing was changed."""

    def __init__(self) -> None:
        """Say what to do."""
        super().__init__(
            'other publications came first each time; nothing was published;'
            ' publish again',
        )


class PublishUnavailableError(PublishError):
    """The key-value service failed before anything was changed."""

    def __init__(self, reason: str) -> None:
        """Keep the reason and say what to do."""
        super().__init__(
            f'the key-value service does not answer ({reason}); nothing was'
            ' published; publish again later',
        )


class PublishUnknownError(PublishError):
    """The publication may have been accepted.

    Parameters
    ----------
    publish_id : str
        Identifier with which to publish again.
    """

    def __init__(self, publish_id: str) -> None:
        """Keep the identifier and say what to do."""
        self.publish_id = publish_id
        super().__init__(
            'the key-value service did not tell whether the publication was'
            f' accepted; publish again with --publish-id={publish_id}: it is'
            ' then accepted once at most',
        )


class BaseUnknownError(PublishError):
    """The records of changes do not reach back to a generation."""

    def __init__(self, generation: int) -> None:
        """Say what to do."""
        super().__init__(
            f'the records do not reach back to generation {generation};'
            ' compare with "baobabhinge diff" and publish without --base',
        )
