"""Log line on the end of a call."""

from collections.abc import Mapping
from datetime import timedelta

import structlog

from baobabhinge_gateway.forwarding.call import Call

MILLISECOND = timedelta(milliseconds=1)
# Fields of the line on a request that did not become a call.
NO_CALL: Mapping[str, object] = {
    'attempt': None,
    'route': None,
    'workspace': None,
    'elapsed_ms': 0,
    'first_ms': None,
    'silence_ms': None,
    'prompt_tokens': None,
    'output_tokens': None,
    'expected_output': None,
    'last_event': None,
    'runs': 0,
}

log = structlog.get_logger(__name__)


def log_end(
    call: Call | None,
    now: timedelta,
    loop_delay: timedelta,
    **fields: object,
) -> None:
    """Log the end of a call.

    Parameters
    ----------
    call : Call or None
        ``None`` if the request did not become a call.
    now : timedelta
        Monotonic time of the end.
    loop_delay : timedelta
        Time for which the event loop can have left it unnoticed.
    **fields
        Further fields of the line.
    """
    log.info(
        'call-ended',
        **fields,
        loop_delay_ms=loop_delay // MILLISECOND,
        **_describe(call, now),
    )


def _describe(call: Call | None, now: timedelta) -> Mapping[str, object]:
    if call is None:
        return NO_CALL
    demand = call.head.demand
    return {
        'attempt': call.head.attempt,
        'route': call.route.name,
        'workspace': call.workspace.name if call.workspace else None,
        'elapsed_ms': (now - call.arrival) // MILLISECOND,
        'first_ms': _measure_ms(call.arrival, call.first_event),
        'silence_ms': _measure_ms(call.latest_event, now),
        'prompt_tokens': demand.prompt if demand else None,
        'output_tokens': demand.output if demand else None,
        'expected_output': demand.expected_output if demand else None,
        'last_event': call.last_event,
        'runs': call.runs,
        **call.caller.describe(),
    }


def _measure_ms(begun: timedelta | None, ended: timedelta | None) -> int | None:
    if begun is None or ended is None:
        return None
    return (ended - begun) // MILLISECOND
