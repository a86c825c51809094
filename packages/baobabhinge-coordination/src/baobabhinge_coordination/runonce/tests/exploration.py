"""Exploration of every state that a scenario can reach."""

from collections import Counter, deque

import msgspec

from baobabhinge_coordination.runonce.tests.protocol_state import ProtocolState


class ExplorationResult(msgspec.Struct):
    """Number of visited states, and how often each reason was reported."""

    states: int = 0
    reasons: Counter = msgspec.field(default_factory=Counter)


def explore(scenario):
    """Visit every reachable state in breadth-first order.

    Raises
    ------
    GuaranteeViolatedError
        At the first state that violates a guarantee.
    """
    first = ProtocolState(scenario)
    seen = {first.fingerprint()}
    pending = deque((first,))
    result = ExplorationResult()
    while pending:
        state = pending.popleft()
        state.check()
        result.states += 1
        result.reasons.update(state.list_reasons())
        for action, argument in state.list_actions():
            successor = state.clone()
            action(successor, argument)
            fingerprint = successor.fingerprint()
            if fingerprint not in seen:
                seen.add(fingerprint)
                pending.append(successor)
    return result
