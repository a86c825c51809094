"""Outcomes of run-once calls."""

import enum

import msgspec


class OutcomeKind(enum.StrEnum):
    """Whether a call ran, as far as it is known."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'


class OutcomeReason(enum.StrEnum):
    """Reason of an outcome.

    ``closed`` and ``sealed`` mean that the owner or the witness was asked about
    an unused key and refuses it from then on; ``in_doubt`` that the witness
    holds an intent without an outcome; ``answer_lost`` that the call was
    dispatched and no answer arrived; ``owner_lost`` that the owner has ended or
    doesn't answer; ``witness_lost`` that the witness doesn't hold the epoch of
    the key or has no room left in it.
    """

    served = 'served'
    closed = 'closed'
    sealed = 'sealed'
    other_request = 'other-request'
    witness_silent = 'witness-silent'
    witness_refused = 'witness-refused'
    not_reached = 'not-reached'
    deadline_passed = 'deadline-passed'
    answer_lost = 'answer-lost'
    in_doubt = 'in-doubt'
    running = 'running'
    unused = 'unused'
    expired = 'expired'
    owner_lost = 'owner-lost'
    witness_lost = 'witness-lost'


class KeptAnswer(msgspec.Struct, frozen=True):
    """An answer kept for retries of its call.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs
        Names and values of the headers.
    body : bytes or None
        Body; ``None`` if it was not kept because of its size.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b''


class RunOnceOutcome(msgspec.Struct, frozen=True):
    """What is known about a run-once call.

    Parameters
    ----------
    kind : OutcomeKind
        Whether the call ran. ``not_run`` means that it did not run and never
        will.
    reason : OutcomeReason
        How the outcome came about.
    answer : KeptAnswer or None
        Answer of the backend server; only for ``answered``.
    """

    kind: OutcomeKind
    reason: OutcomeReason
    answer: KeptAnswer | None = None


def build_answered_outcome(answer: KeptAnswer) -> RunOnceOutcome:
    """Return the outcome of a call with an answer."""
    return RunOnceOutcome(OutcomeKind.answered, OutcomeReason.served, answer)


def build_not_run_outcome(reason: OutcomeReason) -> RunOnceOutcome:
    """Return the outcome of a call that never runs."""
    return RunOnceOutcome(OutcomeKind.not_run, reason)


def build_unknown_outcome(reason: OutcomeReason) -> RunOnceOutcome:
    """Return the outcome of a call that may have run or may still run."""
    return RunOnceOutcome(OutcomeKind.unknown, reason)
