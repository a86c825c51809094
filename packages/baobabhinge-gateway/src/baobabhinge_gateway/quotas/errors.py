"""Refusals because of quotas."""

from http import HTTPStatus

from baobabhinge_gateway.forwarding.problems import ForwardingError


class QuotaError(ForwardingError):
    """The quota of the workspace is used up; the call did not run."""

    code = 'quota-exceeded'
    status = HTTPStatus.TOO_MANY_REQUESTS
