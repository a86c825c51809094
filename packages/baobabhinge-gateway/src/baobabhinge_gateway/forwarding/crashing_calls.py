"""Refusal of calls under which backend servers end."""

from baobabhinge_gateway.forwarding.failures import NotServedError


class CrashingCallError(NotServedError):
    """Servers ended under such calls; this one was not run again."""

    code = 'crashing-call'
