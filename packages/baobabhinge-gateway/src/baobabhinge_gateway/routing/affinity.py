"""Affinity of prompts with a common prefix to one backend server."""

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
    """Return the first `PREFIX_CHARS` characters of the prompt of ``call``.

    Returns
    -------
    str or None
        ``None`` for plain services, and for prompts that are not text.
    """
    if call.service.kind is not ServiceKind.model:
        return None
    try:
        body = msgspec.json.decode(call.body, type=_Prompt)
    except (msgspec.MsgspecError, RecursionError):
        return None
    first = body.messages[0].text if body.messages else body.prompt
    return (first or '')[:PREFIX_CHARS]


def apply_prefix_affinity(
    prefix: str,
    candidates: Sequence[Candidate],
    slack: timedelta,
) -> list[Candidate]:
    """Move the backend server to which ``prefix`` is hashed to the front.

    Parameters
    ----------
    prefix : str
        Prefix of a prompt.
    candidates : sequence of Candidate
        Backend servers of the local region, the best one first.
    slack : timedelta
        Allowed excess over the expected time of the best candidate.

    Notes
    -----
    Rendezvous hashing with bounded loads. A server is eligible if no queueing
    is expected at it, its expected time is within ``slack`` of the best one,
    and no server with these two properties has fewer calls of this gateway in
    flight. The eligible server with the highest hash moves to the front. If no
    server is eligible, the order is unchanged.

    References
    ----------
    Mirrokni, Thorup, Zadimoghaddam: Consistent Hashing with Bounded Loads.
    """
    eligible = _list_least_loaded(_list_within_slack(candidates, slack))
    if not eligible:
        return list(candidates)
    preferred = max(eligible, key=lambda candidate: _hash(prefix, candidate))
    others = [
        candidate for candidate in candidates if candidate is not preferred
    ]
    return [preferred, *others]


def _list_within_slack(
    candidates: Sequence[Candidate],
    slack: timedelta,
) -> list[Candidate]:
    return [
        candidate
        for candidate in candidates
        if not candidate.wait and candidate.first <= candidates[0].first + slack
    ]


def _list_least_loaded(candidates: Sequence[Candidate]) -> list[Candidate]:
    counts = [candidate.target.in_flight for candidate in candidates]
    return [
        candidate
        for candidate in candidates
        if candidate.target.in_flight == min(counts)
    ]


def _hash(prefix: str, candidate: Candidate) -> int:
    name = candidate.target.vm.name
    return xxhash.xxh3_64_intdigest(f'{name} {prefix}'.encode())
