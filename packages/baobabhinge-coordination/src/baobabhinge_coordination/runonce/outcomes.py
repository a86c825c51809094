"""What is known about a run-once call."""

import enum

import msgspec


class OutcomeKind(enum.StrEnum):
    """The three outcomes."""

    answered = 'answered'
    not_run = 'not-run'
    unknown = 'unknown'


class Reason(enum.StrEnum):
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


class Outcome(msgspec.Struct, frozen=True):
    """One outcome.

    Parameters
    ----------
    kind : OutcomeKind
        Which of the three it is. ``not_run`` means that the request did not
        run and never will.
    reason : Reason
        Why.
    answer : KeptAnswer or None
        The answer, for ``answered``.
    """

    kind: OutcomeKind
    reason: Reason
    answer: KeptAnswer | None = None


def report_answered(answer: KeptAnswer) -> Outcome:
    """Return the outcome of a call with an answer."""
    return Outcome(OutcomeKind.answered, Reason.served, answer)


def report_not_run(reason: Reason) -> Outcome:
    """Return the outcome of a call that never runs."""
    return Outcome(OutcomeKind.not_run, reason)


def report_unknown(reason: Reason) -> Outcome:
    """Return the outcome of a call that may have run or may still run."""
    return Outcome(OutcomeKind.unknown, reason)
