"""Origins of streams: who keeps them, who is asked, and what is forgotten.

Guards against streams that are refused though another gateway knows where they
began, and against origins that leave the regions of their calls.
"""

import asyncio
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.origin_exchange import (
    ANSWER_TIMEOUT,
    OriginExchange,
    StreamQuestion,
)
from baobabhinge_gateway.forwarding.origin_holders import (
    list_asked,
    list_keepers,
)
from baobabhinge_gateway.forwarding.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_RETENTION,
    UNKNOWN_ORIGIN,
    OriginTable,
    StreamOrigin,
)
from baobabhinge_gateway.neighbours import (
    GatewayContact,
    GatewayTable,
    Heartbeat,
    OriginQuery,
    OriginRecord,
)

FIRST = StreamOrigin('model', 'v1')
SECOND_VERSION = StreamOrigin('model', 'v2')
REGIONS = ('r0', 'r1', 'r2')
KEYS = [str(number) for number in range(200)]


def list_names(count):
    return [f'gateway-{number}' for number in range(count)]


def find_region(name, regions=REGIONS):
    return regions[int(name.rpartition('-')[2]) % len(regions)]


def build_table(own, names):
    table = GatewayTable(
        GatewayContact(own, find_region(own), own, 90), ManualClock()
    )
    for name in names:
        addresses = (f'{name}:1', f'{name}:2')
        table.record_heartbeat(
            Heartbeat(name, 'a', 1, find_region(name), *addresses, True, 1, {})
        )
    return table


def count_found(teller, asker, names_told, names_asked, regions=REGIONS):
    """Return for how many keys some gateway that is asked was told."""
    told = build_table(teller, names_told)
    asked = build_table(asker, names_asked)
    found = 0
    for key in KEYS:
        kept = {one.name for one in list_keepers(key, regions, told)}
        kept.add(teller)
        reached = {one.name for one in list_asked(key, regions, asked)}
        found += bool(kept & (reached | {asker}) & set(names_asked))
    return found


@pytest.mark.parametrize('count', [9, 83, 1000])
@pytest.mark.parametrize('asker', ['gateway-3', 'gateway-1', 'gateway-2'])
def test_any_gateway_finds_the_keepers_after_the_end_of_the_first(count, asker):
    names = list_names(count)
    left = [name for name in names if name != 'gateway-0']
    assert count_found('gateway-0', asker, names, left) == len(KEYS)


@pytest.mark.parametrize('asker', ['gateway-3', 'gateway-1', 'gateway-2'])
def test_most_origins_are_found_after_the_end_of_a_third_of_the_gateways(asker):
    names = list_names(83)
    left = [name for name in names if int(name.rpartition('-')[2]) % 9 > 2]
    if asker not in left:
        left.append(asker)
    assert count_found('gateway-0', asker, names, left) >= len(KEYS) * 0.8


@pytest.mark.parametrize('asker', ['gateway-3', 'gateway-1', 'gateway-2'])
def test_gateways_that_start_hide_no_origin(asker):
    names = list_names(30)
    assert count_found('gateway-0', asker, names, list_names(33)) >= 190


@pytest.mark.parametrize('regions', [('r1',), ('r1', 'r2')])
def test_origins_stay_in_the_regions_of_their_calls(regions):
    names = list_names(30)
    table = build_table('gateway-0', names)
    for key in KEYS:
        for contact in (
            *list_keepers(key, regions, table),
            *list_asked(key, regions, table),
        ):
            assert contact.region in regions
    assert count_found(
        'gateway-0', 'gateway-1', names, names[1:], regions
    ) == len(KEYS)


@pytest.mark.parametrize(
    ('recorded', 'elapsed', 'found'),
    [
        ([], timedelta(), None),
        ([FIRST], timedelta(), FIRST),
        ([FIRST], ORIGIN_RETENTION, FIRST),
        ([FIRST], ORIGIN_RETENTION + timedelta(seconds=1), None),
        ([FIRST, FIRST], timedelta(), FIRST),
        ([FIRST, SECOND_VERSION], timedelta(), UNKNOWN_ORIGIN),
        ([FIRST, SECOND_VERSION, FIRST], timedelta(), UNKNOWN_ORIGIN),
    ],
)
def test_an_origin_is_kept_for_a_while_if_it_is_unambiguous(
    recorded, elapsed, found
):
    clock = ManualClock()
    table = OriginTable(clock)
    for origin in recorded:
        table.record('key', origin)
    clock.advance(elapsed)
    assert table.find('key') == found


def test_the_oldest_origins_are_dropped_first():
    table = OriginTable(ManualClock())
    for number in range(MAX_ORIGINS + 1):
        table.record(str(number), FIRST)
    assert len(table) == MAX_ORIGINS
    assert table.find('0') is None
    assert table.find('1') == FIRST


@pytest.mark.parametrize(
    ('origin', 'software', 'is_match'),
    [
        (FIRST, 'v1', True),
        (FIRST, 'v2', False),
        (FIRST, '', False),
        (StreamOrigin('model', ''), '', False),
        (StreamOrigin('other', 'v1'), 'v1', False),
    ],
)
def test_an_unknown_version_matches_none(origin, software, is_match):
    assert origin.matches('model', software) == is_match


def build_exchange(answers, sent):
    """Return an exchange whose questions are answered by ``answers``."""
    table = build_table('gateway-0', list_names(9))
    exchange = OriginExchange(
        OriginTable(ManualClock()), table, sent.append, lambda *_: None
    )

    def send(message, addresses):
        sent.append((message, tuple(addresses)))
        is_query = isinstance(message, OriginQuery)
        answering = [one for one in addresses if one[0] in answers and is_query]
        for address in answering:
            record = OriginRecord('key', answers[address[0]], True)
            loop = asyncio.get_running_loop()
            loop.call_soon(exchange.receive, record, address)

    exchange._send = send
    return exchange


@pytest.mark.parametrize(
    ('known', 'silent', 'origin', 'is_prompt'),
    [
        (FIRST, False, FIRST, True),
        (None, False, None, True),
        (FIRST, True, FIRST, True),
        (None, True, None, False),
    ],
)
async def test_a_question_ends_with_the_first_answer_that_knows(
    known, silent, origin, is_prompt
):
    """Or with the last one that does not; silent gateways cost a while."""
    table = build_table('gateway-0', list_names(9))
    asked = [one.name for one in list_asked('key', REGIONS, table)]
    answers = dict.fromkeys(asked)
    answers[asked[0]] = known
    if silent:
        answers.pop(asked[-1])
    exchange = build_exchange(answers, [])
    loop = asyncio.get_running_loop()
    started = loop.time()
    question = StreamQuestion('key', '', timedelta(), REGIONS)
    assert await exchange.find(question) == origin
    elapsed = timedelta(seconds=loop.time() - started)
    assert is_prompt == (elapsed < ANSWER_TIMEOUT)


@pytest.mark.parametrize(
    ('answer', 'origin'),
    [
        # Cut off from all others, which may know of another version by now.
        (None, None),
        # The others have just started, and know nothing.
        (OriginRecord('key', None, is_answer=True), FIRST),
        # They list a version that this gateway does not, as it stood still.
        (OriginRecord('key', None, is_answer=True, has_several=True), None),
        (OriginRecord('key', SECOND_VERSION, is_answer=True), SECOND_VERSION),
    ],
)
async def test_a_gateway_that_is_out_of_step_trusts_no_version(answer, origin):
    """Streams went on at servers of another version than they had begun at."""
    table = build_table('gateway-0', list_names(9))
    exchange = OriginExchange(
        OriginTable(ManualClock()),
        table,
        lambda _message, addresses: [
            answer
            and asyncio.get_running_loop().call_soon(
                exchange.receive, answer, address
            )
            for address in addresses
        ],
        lambda *_: 'v1',
    )
    question = StreamQuestion('key', 'model', timedelta(), REGIONS)
    assert await exchange.find(question) == origin


@pytest.mark.parametrize('has_several', [True, False])
async def test_a_question_is_answered_with_how_much_is_known(has_several):
    sent = []
    exchange = OriginExchange(
        OriginTable(ManualClock()),
        build_table('gateway-0', list_names(9)),
        lambda message, _addresses: sent.append(message),
        lambda *_: None,
        lambda *_: has_several,
    )
    exchange.receive(OriginQuery('key', 'model', 1000), ('gateway-1', 90))
    assert [one.has_several for one in sent] == [has_several]


async def test_a_question_is_answered_with_what_is_kept():
    sent = []
    exchange = build_exchange({}, sent)
    exchange.publish('key', FIRST, REGIONS)
    exchange.receive(OriginQuery('key', '', 0), ('asker', 90))
    assert sent[-1] == (OriginRecord('key', FIRST, True), (('asker', 90),))
    exchange.receive(OriginQuery('other', '', 0), ('asker', 90))
    assert sent[-1] == (OriginRecord('other', None, True), (('asker', 90),))
