"""Keeping prompts with the same beginning at the same backend server."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_settings.model import ServiceKind

PREFIX_CHARS = 256


class _Message(msgspec.Struct):
    text: str | None = msgspec.field(default=None, name='content')


class _Prompt(msgspec.Struct):
    prompt: str = ''
    messages: list[_Message] = []


def extract_prompt_prefix(call: Call) -> str | None:
    """Return the beginning of the prompt of ``call``.

    Returns
    -------
    str or None
        ``None`` for plain services, and for prompts that are not text.
    """
    if call.service.kind is not ServiceKind.model:
        return None
    try:
        order = msgspec.json.decode(call.body, type=_Prompt)
    except (msgspec.MsgspecError, RecursionError):
        return None
    first = order.messages[0].text if order.messages else order.prompt
    return (first or '')[:PREFIX_CHARS]


def apply_prefix_affinity(
    prefix: str,
    candidates: Sequence[Candidate],
    slack: timedelta,
) -> list[Candidate]:
    """Put the backend server that ``prefix`` belongs to first.

    Parameters
    ----------
    prefix : str
        Beginning of a prompt.
    candidates : sequence of Candidate
        Backend servers of one region, the best one first.
    slack : timedelta
        How much later than the best one a server may be expected to answer.

    Notes
    -----
    Rendezvous hashing with bounded loads: servers without queueing that are
    expected within ``slack`` and run as few calls of this gateway as any of
    these take part; among them the highest hash wins. With none of them the
    order stays.

    References
    ----------
    Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads.
    """
    fitting = _list_least_used(_list_near(candidates, slack))
    if not fitting:
        return list(candidates)
    winner = max(fitting, key=lambda candidate: _hash(prefix, candidate))
    rest = [candidate for candidate in candidates if candidate is not winner]
    return [winner, *rest]


def _list_near(
    candidates: Sequence[Candidate],
    slack: timedelta,
) -> list[Candidate]:
    return [
        candidate
        for candidate in candidates
        if not candidate.wait and candidate.first <= candidates[0].first + slack
    ]


def _list_least_used(candidates: Sequence[Candidate]) -> list[Candidate]:
    counts = [candidate.target.in_flight for candidate in candidates]
    return [
        candidate
        for candidate in candidates
        if candidate.target.in_flight == min(counts)
    ]


def _hash(prefix: str, candidate: Candidate) -> int:
    name = candidate.target.vm.name
    return xxhash.xxh3_64_intdigest(f'{name} {prefix}'.encode())
