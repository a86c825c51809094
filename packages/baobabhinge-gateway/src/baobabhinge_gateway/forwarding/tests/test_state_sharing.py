"""Changes, sizes and failures in the exchange of state between gateways.

Guards against DRAIN and GONE: state that fills the links of the gateways which
have it, and parts of it that wait for each other.
"""

import asyncio
import zlib
from contextlib import asynccontextmanager
from datetime import timedelta
from itertools import repeat
from urllib.parse import parse_qsl, urlsplit

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from baobabhinge_gateway.deployment import RequestLimits, Revision
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.connector import build_strict_session
from baobabhinge_gateway.forwarding.failures import (
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.fetching import (
    LONGEST_RETRY_AFTER,
    RETRY_AFTER_HEADER,
    HttpTransfer,
    StateAnswer,
)
from baobabhinge_gateway.forwarding.snapshot import (
    UNWANTED,
    Snapshot,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.snapshot_encoding import encode_snapshot
from baobabhinge_gateway.forwarding.snapshot_fetcher import REMOTE_DELAY
from baobabhinge_gateway.forwarding.snapshot_query import SnapshotQuery
from baobabhinge_gateway.forwarding.snapshot_sender import STATE_BYTE_RATE
from baobabhinge_gateway.forwarding.snapshot_transfer import apply_snapshot
from baobabhinge_gateway.forwarding.state_sharing import StateSharing
from baobabhinge_gateway.forwarding.tests.test_watchers import (
    SERVER,
    build_core,
    build_heartbeat,
    replace_evacuations,
    replace_servers,
)

OTHER = msgspec.structs.replace(SERVER, name='other')
LEAVING = msgspec.structs.replace(SERVER, is_leaving=True)
SERVERS = 1400
WAIT_SECONDS = 5
STEP_SECONDS = 0.01


def build_source():
    source = build_core('a')
    replace_servers(source.updater, [SERVER, OTHER], 7)
    return source


def ask(receiver, **options):
    """Return the query of a gateway for the list of servers."""
    progress = receiver.updater.servers.revisions.progress
    return SnapshotQuery(
        StoreRevisions(UNWANTED, progress.known_to),
        changes_from=progress.complete_to,
        **options,
    )


def exchange(source, receiver):
    """Let one gateway tell another what it lacks; return what was sent."""
    query = ask(receiver)
    encoded = encode_snapshot(source.updater, source.state, query)
    apply_snapshot(receiver.updater, encoded, query.since)
    return msgspec.msgpack.decode(encoded, type=Snapshot)


def list_servers(core):
    return {
        server.name: server.is_leaving
        for server in core.state.catalogue.list_all()
    }


@pytest.mark.parametrize(
    ('known_to', 'is_difference'),
    [
        # It has the list that the other gateway began with.
        (7, True),
        # It may lack removals that the other gateway never knew of.
        (6, False),
    ],
)
def test_a_gateway_is_told_the_changes_alone(known_to, is_difference):
    """Each change was told as a list of all servers, to each gateway."""
    source = build_source()
    receiver = build_core('b')
    replace_servers(receiver.updater, [SERVER, OTHER], known_to)
    source.updater.servers.put(LEAVING, 8)
    source.updater.servers.remove('other', 9)
    source.updater.complete(StoreRevisions(servers=9))
    told = exchange(source, receiver)
    assert bool(told.changes) == is_difference
    assert bool(told.servers) != is_difference
    assert list_servers(receiver) == {SERVER.name: True}
    assert receiver.updater.known_to == StoreRevisions(servers=9)
    assert receiver.updater.revisions == source.updater.revisions
    # What it was told as changes, it can tell so too.
    third = build_core('c')
    replace_servers(third.updater, [SERVER, OTHER], 7)
    assert bool(exchange(receiver, third).changes) == is_difference
    assert list_servers(third) == {SERVER.name: True}


def test_changes_after_unknown_ones_are_not_applied():
    source = build_source()
    source.updater.servers.put(LEAVING, 8)
    source.updater.complete(StoreRevisions(servers=8))
    receiver = build_core('b')
    replace_servers(receiver.updater, [SERVER], 5)
    query = SnapshotQuery(StoreRevisions(UNWANTED, 5), changes_from=7)
    encoded = encode_snapshot(source.updater, source.state, query)
    apply_snapshot(receiver.updater, encoded, query.since)
    assert list_servers(receiver) == {SERVER.name: False}
    assert receiver.updater.known_to == StoreRevisions(servers=5)


@pytest.mark.parametrize('has_source_lost_store', [True, False])
def test_a_removal_is_not_kept_for_longer_than_where_it_was_seen(
    has_source_lost_store,
):
    """Each gateway began a retention of its own when it was told."""
    source = build_source()
    receiver = build_core('b')
    replace_servers(receiver.updater, [SERVER, OTHER], 7)
    receiver.updater.record_store_failure()
    if has_source_lost_store:
        source.updater.record_store_failure()
    source.updater.servers.remove('other', 9)
    source.updater.complete(StoreRevisions(servers=9))
    exchange(source, receiver)
    assert ('other' in list_servers(receiver)) == has_source_lost_store
    left = source.state.catalogue.removals.list_left()
    kept = receiver.state.catalogue.removals.list_left()
    assert kept.keys() == left.keys()
    for name in kept:
        assert kept[name] <= left[name] + timedelta(milliseconds=1)


@pytest.mark.parametrize(('version', 'is_told'), [(2, True), (3, False)])
def test_a_configuration_that_is_in_force_is_not_told_again(version, is_told):
    """An evacuation was told with all routes."""
    source = build_source()
    source.updater.adopt(Revision(3, (), {}, RequestLimits()))
    replace_evacuations(source.updater, ['west-a'], 5)
    query = SnapshotQuery(StoreRevisions(4, UNWANTED), version=version)
    encoded = encode_snapshot(source.updater, source.state, query)
    told = msgspec.msgpack.decode(encoded, type=Snapshot)
    assert (told.revision is not None) == is_told
    assert told.evacuated == ('west-a',)


class StateExchange:
    """One gateway that is told of others, which are simulated.

    Attributes
    ----------
    asked : list of tuple
        Address and part of each request.
    """

    def __init__(self):
        self.core = build_core('own')
        self.asked = []
        self.failures = {}
        self.sharing = StateSharing(self.core, self.fetch, self.notify)
        self.sources = {}
        self.notified = 0

    def notify(self):
        self.notified += 1

    def add_source(self, name, region='west'):
        source = build_core(name)
        source.updater.adopt(Revision(3, (), {}, RequestLimits()))
        replace_evacuations(source.updater, ['west-a'], 5)
        replace_servers(source.updater, [SERVER], 7)
        self.sources[f'{name}:2'] = StateSharing(source, self.fetch, list)
        heartbeat = build_heartbeat(
            name, region, revisions=source.updater.revisions
        )
        self.core.gateways.record_heartbeat(heartbeat)
        self.core.apply_heartbeat(heartbeat)

    async def fetch(self, address, target):
        query = dict(parse_qsl(urlsplit(target).query))
        part = 'servers' if int(query['operators']) == UNWANTED else 'operators'
        self.asked.append((address, part))
        failure = next(self.failures.get((address, part), repeat(None)))
        if isinstance(failure, StateAnswer):
            return failure
        if failure is not None:
            raise failure
        return self.sources[address].sender.answer(query, 'own')

    def knows(self, part):
        return getattr(self.core.updater.known_to, part) > 0


@asynccontextmanager
async def open_exchange():
    """Run the fetcher of a gateway until the end."""
    exchanged = StateExchange()
    await exchanged.sharing.fetcher.start()
    try:
        yield exchanged
    finally:
        await exchanged.sharing.fetcher.stop()


async def wait_until(is_reached):
    async with asyncio.timeout(WAIT_SECONDS):
        while not is_reached():
            await asyncio.sleep(STEP_SECONDS)


FAILURES = [
    TimeLimitError('brought about'),
    NotReachedError('a:2'),
    UnknownOutcomeError('brought about'),
    StateAnswer(b'no zlib', is_deflated=True),
    StateAnswer(zlib.compress(b'cut')[:-2], is_deflated=True),
    StateAnswer(zlib.compress(bytes(20 << 20)), is_deflated=True),
    StateAnswer(b'', retry_after=timedelta(milliseconds=20)),
]


@pytest.mark.parametrize('failure', FAILURES)
@pytest.mark.parametrize(
    ('failing', 'other'), [('operators', 'servers'), ('servers', 'operators')]
)
async def test_no_part_waits_for_the_other(failing, other, failure):
    """The list of servers was not asked for while configurations failed."""
    async with open_exchange() as exchanged:
        exchanged.failures['a:2', failing] = repeat(failure)
        exchanged.add_source('a')
        await wait_until(lambda: exchanged.knows(other))
        assert not exchanged.knows(failing)
        # It is tried again without another heartbeat.
        exchanged.failures.clear()
        await wait_until(lambda: exchanged.knows(failing))


async def test_another_gateway_is_asked_after_a_failure():
    """A gateway that is cut off was chosen again and again."""
    async with open_exchange() as exchanged:
        late = TimeLimitError('brought about')
        exchanged.failures['a:2', 'servers'] = repeat(late)
        for name in ('a', 'b'):
            exchanged.add_source(name)
        await wait_until(lambda: exchanged.knows('servers'))
        assert exchanged.asked.count(('a:2', 'servers')) <= 1


@pytest.mark.parametrize(
    ('others', 'is_watcher'), [('', True), ('bc', True), ('bcd', False)]
)
async def test_watchers_fetch_first_what_only_other_regions_know(
    others, is_watcher
):
    """All gateways of a region asked the same gateway of another one.

    One that has just started waits for nobody if nobody else watches.
    """
    async with open_exchange() as exchanged:
        for name in others:
            exchanged.core.gateways.record_heartbeat(build_heartbeat(name))
        exchanged.core.gateways.stalls._settled_from = timedelta()
        exchanged.add_source('a', 'east')
        clock = exchanged.core.ingress.clock
        begun = clock.read_monotonic()
        await wait_until(lambda: exchanged.knows('servers'))
        elapsed = clock.read_monotonic() - begun
        assert (elapsed >= REMOTE_DELAY) != is_watcher
        assert bool(exchanged.notified) == is_watcher


def test_a_gateway_sends_no_more_state_than_its_link_can_bear():
    """Its calls, and the ends of them, waited behind state for others."""
    source = build_core('a')
    replace_servers(
        source.updater,
        [
            msgspec.structs.replace(SERVER, name=str(number))
            for number in range(SERVERS)
        ],
        7,
    )
    sender = StateSharing(source, StateExchange().fetch, list).sender
    query = dict(
        parse_qsl(
            urlsplit(
                ask(build_core(), is_inflatable=True).format_target()
            ).query
        )
    )
    plain = {**query, 'accepts': ''}
    assert not sender.answer(plain, 'old').is_deflated
    answers = [sender.answer(query, 'new') for _ in range(1000)]
    sent = [answer for answer in answers if answer.retry_after is None]
    assert sent and all(answer.is_deflated for answer in sent)
    assert sum(len(answer.body) for answer in sent) <= 2 * STATE_BYTE_RATE
    refused = [answer for answer in answers if answer.retry_after is not None]
    assert refused
    times = [answer.retry_after for answer in refused]
    assert timedelta() < times[0] < times[1]
    assert times == sorted(times)
    assert times[-1] == LONGEST_RETRY_AFTER
    receiver = build_core('b')
    apply_snapshot(receiver.updater, sent[0].inflate(), ask(receiver).since)
    assert len(list_servers(receiver)) == SERVERS


@pytest.mark.parametrize(
    ('status', 'told', 'milliseconds'),
    [
        (503, '40', 40),
        (503, '90000', 300),
        (503, '9' * 5000, 300),
        (503, '', None),
        (503, '-1', None),
        (404, None, None),
    ],
)
async def test_a_busy_gateway_is_asked_later(status, told, milliseconds):
    async def answer(request):
        headers = {} if told is None else {RETRY_AFTER_HEADER: told}
        return web.Response(status=status, headers=headers)

    core = build_core()
    async with (
        RawTestServer(answer) as server,
        build_strict_session() as http,
    ):
        transfer = HttpTransfer(http, core.ingress.bounds.memory)
        address = f'{server.host}:{server.port}'
        target = ask(core).format_target()
        if milliseconds is None:
            with pytest.raises(UnknownOutcomeError):
                await transfer.fetch(address, target)
            return
        answered = await transfer.fetch(address, target)
        assert answered.retry_after == timedelta(milliseconds=milliseconds)
