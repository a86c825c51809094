"""Times that model engines take for the parts of a call."""

from datetime import timedelta

from baobabhinge_gateway.deployment import Engine
from baobabhinge_gateway.forwarding.call import Demand

# Prefill rate of an engine, from the data sheets of both deployments.
PREFILL_TOKENS_PER_MS = 56.6
# A decode step takes 3.79 ms plus 0.0893 ms for each running call, from the
# data sheets.
DECODE_STEP_MS = 3.79
DECODE_STEP_MS_PER_CALL = 0.0893
# An event holds seven tokens, and each decode step makes one for each call.
FIRST_EVENT_STEPS = 7
# Tokens that an engine prefills at most in one decode step.
CHUNK_TOKENS = 1024
# Decode step that prefills a full chunk beside some 60 running calls.
SATURATED_STEP_MS = 27
# Prompts up to this length delay the running calls of an engine by 0.1 s.
SHORT_PROMPT_TOKENS = 4 * CHUNK_TOKENS
# Setup before the first token, from the site files.
SETUP_MS = 16
# The copy time is multiplied by this factor, so that an engine that has the
# prompt cached is chosen unless another one is clearly less busy.
COPY_TIME_FACTOR = 4
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


def estimate_copy_time(engine: Engine, tokens: int) -> timedelta:
    """Return the weighted time in which engines copy a cached prefix.

    Parameters
    ----------
    engine : Engine
        Capacity of the engines; their copy rate is not 0.
    tokens : int
        Length of the copied prefix.
    """
    bits = tokens * engine.token_bytes * BITS_PER_BYTE
    seconds = bits / (engine.copy_rate * BITS_PER_MEGABIT)
    return COPY_TIME_FACTOR * timedelta(seconds=seconds)


def estimate_prefill_time(tokens: int) -> timedelta:
    """Return the time that an engine takes to prefill ``tokens``."""
    return timedelta(milliseconds=tokens / PREFILL_TOKENS_PER_MS)


def estimate_prefill_delay(tokens: int, calls: int) -> timedelta:
    """Return the time in which a busy engine prefills ``tokens``.

    Parameters
    ----------
    tokens : int
        Tokens to prefill.
    calls : int
        Calls that the engine runs meanwhile.
    """
    # Each chunk is prefilled in a step that also generates a token per call.
    chunks = tokens / CHUNK_TOKENS
    return estimate_prefill_time(tokens) + chunks * _estimate_step(calls)


def is_long_answer(demand: Demand, limit: timedelta) -> bool:
    """Return whether a call needs an engine that prefills little.

    That is the case if its answer may take longer than its limit on an engine
    that prefills in each step, and its own prompt is short.

    Parameters
    ----------
    demand : Demand
        Tokens of the call.
    limit : timedelta
        Time limit of the answer.
    """
    slowest = timedelta(milliseconds=SATURATED_STEP_MS * demand.output)
    return slowest > limit and demand.prompt <= SHORT_PROMPT_TOKENS


def estimate_first_event_time(calls: int) -> timedelta:
    """Return the time from the end of a prefill to the first event.

    Parameters
    ----------
    calls : int
        Calls that the engine runs.
    """
    setup = timedelta(milliseconds=SETUP_MS)
    return setup + estimate_event_time(calls)


def estimate_event_time(calls: int) -> timedelta:
    """Return the time between two events of a stream.

    Parameters
    ----------
    calls : int
        Calls that the engine runs.
    """
    return FIRST_EVENT_STEPS * _estimate_step(calls)


def _estimate_step(calls: int) -> timedelta:
    return timedelta(
        milliseconds=DECODE_STEP_MS + DECODE_STEP_MS_PER_CALL * calls
    )
