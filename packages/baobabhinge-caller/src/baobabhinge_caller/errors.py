"""Errors that the library raises, with a common base."""

from baobabhinge_caller.messages import Problem


class CallFailedError(Exception):
    """Base of all errors; the call has no complete answer.

    Parameters
    ----------
    problem : Problem
        Problem reported by the last gateway, or found by the library.
    """

    def __init__(self, problem: Problem) -> None:
        """Build the message from the problem."""
        super().__init__(f'{problem.code}: {problem.detail}')
        self.problem = problem


class NotRunError(CallFailedError):
    """The call was not run; sending it again is safe."""


class RefusedError(NotRunError):
    """The call was not run, and would be refused again if unchanged."""


class OutcomeUnknownError(CallFailedError):
    """The call may have run.

    Parameters
    ----------
    problem : Problem
        Problem reported by a gateway, or found by the library.
    key : str, optional
        Run-once key under which the outcome can be asked for again.
    """

    def __init__(self, problem: Problem, key: str | None = None) -> None:
        """Store the problem and the key."""
        super().__init__(problem)
        self.key = key


class WrongAnswerError(CallFailedError):
    """The answer belongs to another request and is withheld."""
