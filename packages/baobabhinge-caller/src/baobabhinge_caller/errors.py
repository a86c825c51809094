"""Failures that the library reports, one tree with a common base."""

from baobabhinge_caller.messages import Problem


class CallFailedError(Exception):
    """Base of every failure; the call has no whole answer.

    Parameters
    ----------
    problem : Problem
        What the last gateway said, or what the library saw.
    """

    def __init__(self, problem: Problem) -> None:
        """Keep the problem."""
        super().__init__(f'{problem.code}: {problem.detail}')
        self.problem = problem


class NotRunError(CallFailedError):
    """The call was not run; sending it again is harmless."""


class RefusedError(NotRunError):
    """The call was not run, and will be refused again as it stands."""


class OutcomeUnknownError(CallFailedError):
    """The call may have run.

    Parameters
    ----------
    problem : Problem
        What was seen.
    key : str, optional
        Run-once key under which the outcome can be asked for again.
    """

    def __init__(self, problem: Problem, key: str | None = None) -> None:
        """Keep problem and key."""
        super().__init__(problem)
        self.key = key


class WrongAnswerError(CallFailedError):
    """The answer names another request; it is kept from the program."""
