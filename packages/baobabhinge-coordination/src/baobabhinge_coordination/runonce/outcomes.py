"""What is known about a run-once call."""

import enum

import msgspec


class OutcomeKind(enum.StrEnum):
    """The three outcomes."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'


class OutcomeReason(enum.StrEnum):
    """Why an outcome is what it is."""

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
    """An answer kept for repeats.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : tuple of pairs
        Headers of the answer.
    body : bytes or None
        Body of the answer; ``None`` when it was too long to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b''


class RunOnceOutcome(msgspec.Struct, frozen=True):
    """One outcome.

    Parameters
    ----------
    kind : OutcomeKind
        Which of the three it is. ``not_run`` means that the request did not
        run and never will.
    reason : OutcomeReason
        Why.
    answer : KeptAnswer or None
        The answer, for ``answered``.
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
