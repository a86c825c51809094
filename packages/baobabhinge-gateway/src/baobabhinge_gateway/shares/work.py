"""Work that a call is to a server, before one is chosen."""

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.engine_timing import (
    DECODE_STEP_MS,
    DECODE_STEP_MS_PER_CALL,
    PREFILL_TOKENS_PER_MS,
)
from baobabhinge_gateway.forwarding.estimates import PLAIN_CALL_MS

# Calls that share the steps of a busy engine.
USUAL_CALLS = 60
# Part of a decode step that one more call takes, and its part of the rest.
MS_PER_TOKEN = DECODE_STEP_MS_PER_CALL + DECODE_STEP_MS / USUAL_CALLS


def estimate_work(call: Call) -> int:
    """Return the time of a server that a call takes, in ms; at least 1.

    Prompt tokens count as unread: which ones the chosen engine has cached is
    not known yet, and what is requested and what is placed count alike.
    """
    demand = call.head.demand
    if demand is None:
        return PLAIN_CALL_MS
    output = demand.expected_output or demand.output
    work = demand.prompt / PREFILL_TOKENS_PER_MS + output * MS_PER_TOKEN
    return max(1, round(work))
