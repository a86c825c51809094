"""Calls of a soak."""

from random import Random

import msgspec

from baobabhinge_standins.soak.evidence import name_call
from baobabhinge_standins.traffic import Request

BOUND_SHARE = 0.4
TRADE_SHARE = 0.5
MODEL_SHARE = 0.4
STREAMED_SHARE = 0.7
FEWEST_TOKENS = 4
MOST_TOKENS = 24
HISTORY = 'Sales of the last five meets, by issue and grade. ' * 20


def mark_bound(region: str) -> str:
    """Return the text that occurs in all calls bound to ``region``."""
    return f'kept-in-{region}-only'


def draw_call(random: Random, region: str, number: int) -> Request:
    """Return a call of some kind from a caller of ``region``."""
    share = random.random()
    is_bound = random.random() < BOUND_SHARE
    text = name_call(number)
    if is_bound:
        text = f'{text} {mark_bound(region)}'
    if share < TRADE_SHARE:
        return _build_trade(region, number, text, is_bound=is_bound)
    if share < TRADE_SHARE + MODEL_SHARE:
        return _build_completion(random, region, text, is_bound=is_bound)
    path = f'/services/ledger/owners/{number}'
    return Request('look-up', region, 'GET', path)


def _build_trade(
    region: str,
    number: int,
    text: str,
    *,
    is_bound: bool,
) -> Request:
    return Request(
        kind='trade',
        region=region,
        method='POST',
        path=f'/services/ledger/trades/{number}/confirm',
        body=msgspec.json.encode({'note': text}),
        is_run_once=True,
        is_bound=is_bound,
    )


def _build_completion(
    random: Random,
    region: str,
    text: str,
    *,
    is_bound: bool,
) -> Request:
    body = {
        'model': 'llm',
        'stream': random.random() < STREAMED_SHARE,
        'max_tokens': random.randint(FEWEST_TOKENS, MOST_TOKENS),
        'prompt': f'{HISTORY}{text}',
    }
    return Request(
        kind='appraisal',
        region=region,
        method='POST',
        path='/v1/completions',
        body=msgspec.json.encode(body),
        is_model=True,
        is_bound=is_bound,
    )
