"""Few gateways watch the store; the others hear from them."""

from datetime import timedelta
from urllib.parse import parse_qsl

import msgspec
import pytest

from baobabhinge_gateway.deployment import (
    BackendServer,
    RequestLimits,
    Revision,
)
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.feed import apply_snapshot, take_snapshot
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.snapshot import (
    Marks,
    Snapshot,
    read_marks,
)
from baobabhinge_gateway.neighbours import Contact, Heartbeat

REGIONS = {'west-a': 'west', 'east-a': 'east'}
SERVER = BackendServer('one', 'model', '127.0.0.1:1', 'west-a')


def build_core(name='c'):
    return GatewayCore(
        ForwardingSettings(
            own=Contact(name, 'west', '127.0.0.1', 90),
            caller_address='127.0.0.1:1',
            hop_address='127.0.0.1:2',
            regions=REGIONS,
            budget=RetryBudgetLimits(),
            grace=timedelta(seconds=8),
        ),
    )


NOTHING_SEEN = Marks()


def build_beat(
    name,
    region='west',
    *,
    hears_store=True,
    marks=NOTHING_SEEN,
):
    addresses = (f'{name}:1', f'{name}:2')
    return Heartbeat(
        name,
        'a',
        1,
        region,
        *addresses,
        True,
        1,
        {},
        marks,
        (),
        hears_store,
    )


@pytest.mark.parametrize(
    ('names', 'deaf', 'region', 'is_watcher'),
    [
        ((), (), 'west', True),
        (('b0', 'b1'), (), 'west', True),
        (('b0', 'b1', 'b2'), (), 'west', False),
        (('b0', 'b1', 'b2'), ('b1',), 'west', True),
        (('b0', 'b1', 'b2'), (), 'east', True),
        (('b0', 'b1', 'd0', 'd1'), (), 'west', True),
        (('b0', 'b1', 'b2', 'b3'), ('b1',), 'west', False),
    ],
)
def test_three_of_a_region_that_hear_the_store_watch_it(
    names,
    deaf,
    region,
    is_watcher,
):
    core = build_core()
    for name in names:
        beat = build_beat(name, region, hears_store=name not in deaf)
        core.gateways.hear(beat)
    assert core.is_watcher() == is_watcher


@pytest.mark.parametrize(
    ('since', 'has_revision', 'servers'),
    [
        (Marks(), True, 1),
        (Marks(5, 0), False, 1),
        (Marks(0, 7), True, 0),
        (Marks(5, 7), False, 0),
    ],
)
def test_a_snapshot_holds_what_is_newer(since, has_revision, servers):
    source = build_core('a')
    source.feed.adopt(Revision(3, (), {}, RequestLimits()))
    source.feed.evacuate(frozenset(('west-a',)), 5)
    source.feed.list_servers([SERVER], 7)
    query = dict(parse_qsl(since.render()))
    taken = take_snapshot(source.feed, source.knowledge, read_marks(query))
    snapshot = msgspec.msgpack.decode(taken, type=Snapshot)
    assert (snapshot.revision is not None) == has_revision
    assert len(snapshot.servers) == servers
    receiver = build_core()
    receiver.feed.marks = since
    apply_snapshot(receiver.feed, taken)
    assert (receiver.knowledge.holder.version == 3) == has_revision
    assert len(receiver.knowledge.catalogue.list_all()) == servers


@pytest.mark.parametrize(
    ('marks', 'is_behind'),
    [(Marks(), False), (Marks(1, 0), True), (Marks(0, 1), True)],
)
def test_who_hears_of_something_newer_knows_to_be_behind(marks, is_behind):
    core = build_core()
    core.hear(build_beat('a', marks=marks))
    assert core.feed.is_behind.is_set() == is_behind


def test_a_list_without_servers_is_seen_as_well():
    core = build_core()
    core.feed.list_servers([SERVER], 7)
    core.feed.list_servers([], 9)
    assert core.feed.marks == Marks(0, 9)
    assert not core.knowledge.catalogue.list_all()
