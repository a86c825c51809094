"""Errors of calls whose caller has no key of a workspace in force."""

from http import HTTPStatus

from baobabhinge_gateway.forwarding.failures import NotServedError


class UnknownKeyError(NotServedError):
    """The call has no key, several, or one that no workspace holds; not run."""

    code = 'unknown-key'
    status = HTTPStatus.UNAUTHORIZED


class UnconfirmedKeyError(NotServedError):
    """A newer configuration may know the key of the call; it did not run."""

    code = 'unconfirmed-key'
