"""Base classes of the exceptions of the gateway."""

import enum
from datetime import timedelta
from http import HTTPStatus

import msgspec

DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class Outcome(enum.StrEnum):
    """Whether a call that failed may have been run."""

    not_run = 'not-run'
    unknown = 'unknown'


class EntryHint(msgspec.Struct, frozen=True):
    """Address of a gateway that the caller may use instead of this one."""

    vm: str
    region: str
    address: str


class GatewayError(Exception):
    """Base of all exceptions of the gateway."""


class NotReachedError(GatewayError):
    """No byte of the request was sent to the server or gateway."""


class CallError(GatewayError):
    """Base of the errors reported to a caller in place of an answer.

    Parameters
    ----------
    detail : str
        What happened and what the caller can do. It must not contain text of
        the request.
    retry_after : timedelta, optional
        Time after which the caller may retry.
    """

    code = 'internal'
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome = Outcome.not_run
    entries: tuple[EntryHint, ...] = ()
    # Refusals that have to cost little are only counted.
    is_logged = True
    # Whether a caller is left to answer.
    is_awaited = True

    def __init__(
        self,
        detail: str,
        retry_after: timedelta = DEFAULT_RETRY_AFTER,
    ) -> None:
        """Store the detail and the time until a retry."""
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after
