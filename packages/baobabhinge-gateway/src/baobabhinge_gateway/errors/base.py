"""Bases of the failures of the gateway."""

import enum
from datetime import timedelta
from http import HTTPStatus

import msgspec

DEFAULT_RETRY_AFTER = timedelta(seconds=1)


class Outcome(enum.StrEnum):
    """What is known about a call that was not answered."""

    not_run = 'not-run'
    unknown = 'unknown'


class EntryHint(msgspec.Struct, frozen=True):
    """A gateway that the caller may use in place of this one."""

    vm: str
    region: str
    address: str


class GatewayError(Exception):
    """Base of every failure of the gateway."""


class NotReachedError(GatewayError):
    """No byte of the request was written to the other side."""


class CallError(GatewayError):
    """A call that ends without the backend server's answer.

    Parameters
    ----------
    detail : str
        What happened and what the caller can do; no text of the request.
    retry_after : timedelta, optional
        When the caller may come back.
    """

    code = 'internal'
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome = Outcome.not_run
    entries: tuple[EntryHint, ...] = ()

    def __init__(
        self,
        detail: str,
        retry_after: timedelta = DEFAULT_RETRY_AFTER,
    ) -> None:
        """Keep the detail and the advice."""
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after
