"""Keeping prompts with the same beginning at the same backend server."""

from collections.abc import Sequence

import msgspec
import xxhash

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.routing.decisions import Candidate
from baobabhinge_settings.model import ServiceKind

PREFIX_CHARS = 256
EXTRA_LOAD = 1.25


class _Message(msgspec.Struct):
    text: str | None = msgspec.field(default=None, name='content')


class _Prompt(msgspec.Struct):
    prompt: str = ''
    messages: list[_Message] = []


def compute_prefix(call: Call) -> str | None:
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
    except msgspec.MsgspecError:
        return None
    first = order.messages[0].text if order.messages else order.prompt
    return (first or '')[:PREFIX_CHARS]


def prefer_cached(
    prefix: str,
    candidates: Sequence[Candidate],
) -> list[Candidate]:
    """Put the backend server that ``prefix`` belongs to first.

    Parameters
    ----------
    prefix : str
        Beginning of a prompt.
    candidates : sequence of Candidate
        Backend servers of one region, the best one first.

    Notes
    -----
    Rendezvous hashing with bounded loads: servers without queueing whose
    load is at most a quarter above the mean take part; among them the highest
    hash wins. With none of them the order stays.

    References
    ----------
    Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads.
    """
    bound = _compute_bound(candidates)
    fitting = [
        candidate
        for candidate in candidates
        if not candidate.wait and candidate.target.in_flight <= bound
    ]
    if not fitting:
        return list(candidates)
    winner = max(fitting, key=lambda candidate: _hash(prefix, candidate))
    rest = [candidate for candidate in candidates if candidate is not winner]
    return [winner, *rest]


def _compute_bound(candidates: Sequence[Candidate]) -> float:
    total = sum(candidate.target.in_flight for candidate in candidates)
    return EXTRA_LOAD * (total + 1) / max(1, len(candidates))


def _hash(prefix: str, candidate: Candidate) -> int:
    name = candidate.target.vm.name
    return xxhash.xxh3_64_intdigest(f'{name} {prefix}'.encode())
