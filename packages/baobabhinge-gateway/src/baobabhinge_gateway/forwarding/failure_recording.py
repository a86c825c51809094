"""What the failure of an exchange shows of its backend server."""

from collections.abc import Iterator
from contextlib import contextmanager

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.failures import (
    StreamBrokenError,
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.reliability import ServerReliability


@contextmanager
def record_failures(trust: ServerReliability, server: str) -> Iterator[None]:
    """Tell ``trust`` how the exchange in the context fails.

    A server whose connection broke may have restarted and be cold: it is
    checked before it gets another call.
    """
    try:
        yield
    except NotReachedError:
        trust.suspect(server, 'not reached')
        raise
    except (UnknownOutcomeError, StreamBrokenError) as lost:
        trust.record_outcome(server, has_failed=True)
        trust.suspect(server, str(lost))
        raise
    except TimeLimitError:
        trust.record_outcome(server, has_failed=True)
        raise
