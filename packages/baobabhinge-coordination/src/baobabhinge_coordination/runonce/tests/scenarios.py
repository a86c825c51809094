"""Scenarios to explore: the attempts, their messages and the faults."""

import enum

import msgspec

from baobabhinge_coordination.runonce import RunOnceOutcome


class MessageKind(enum.IntEnum):
    attempt = 1
    query = 2
    intent = 3
    verdict = 4
    dispatch = 5
    served = 6
    copy = 7
    ask = 8
    open_epoch = 9


DUPLICABLE = frozenset(MessageKind) - {MessageKind.dispatch, MessageKind.served}


class ModelMessage(msgspec.Struct, frozen=True, cache_hash=True):
    kind: MessageKind
    number: int = 0
    text: str = ''
    outcome: RunOnceOutcome | None = None


class Scenario(msgspec.Struct, frozen=True):
    """Attempts under one key, and the number of faults allowed.

    An attempt is the digest of its request; an empty digest stands for a
    caller that only asks for the outcome.
    """

    digests: tuple[str, ...]
    has_witness: bool = True
    faults: int = 2


class GuaranteeViolatedError(AssertionError):
    """A state violates a guarantee of the protocol."""
