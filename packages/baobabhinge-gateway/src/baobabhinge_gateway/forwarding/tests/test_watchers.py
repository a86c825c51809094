"""Gateways that watch the store, and snapshots for those that don't.

Guards against a region in which no gateway watches the store, and against a
gateway that misses a change which another gateway has applied.
"""

from datetime import timedelta
from urllib.parse import parse_qsl, urlsplit

import msgspec
import pytest
from prometheus_client import CollectorRegistry
from structlog.testing import capture_logs

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import (
    BackendServer,
    RequestLimits,
    Revision,
)
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.deployment_state import (
    create_deployment_state,
)
from baobabhinge_gateway.forwarding.key_revisions import ListRevisions
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.settings import ForwardingSettings
from baobabhinge_gateway.forwarding.snapshot import (
    UNWANTED,
    Snapshot,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.snapshot_encoding import encode_snapshot
from baobabhinge_gateway.forwarding.snapshot_query import (
    SnapshotQuery,
    parse_query,
)
from baobabhinge_gateway.forwarding.snapshot_sources import SnapshotSources
from baobabhinge_gateway.forwarding.snapshot_transfer import apply_snapshot
from baobabhinge_gateway.forwarding.state_lag import PartLag
from baobabhinge_gateway.forwarding.state_metrics import StateMetrics
from baobabhinge_gateway.forwarding.state_parts import StatePart
from baobabhinge_gateway.forwarding.state_updater import (
    StateUpdater,
    lacks_changes,
)
from baobabhinge_gateway.forwarding.watchers import is_informed
from baobabhinge_gateway.neighbours import GatewayContact, Heartbeat

REGIONS = {'west-a': 'west', 'east-a': 'east'}
SERVER = BackendServer('one', 'model', '127.0.0.1:1', 'west-a')


def build_core(name='c'):
    return GatewayCore(
        ForwardingSettings(
            own=GatewayContact(name, 'west', '127.0.0.1', 90),
            caller_address='127.0.0.1:1',
            hop_address='127.0.0.1:2',
            regions=REGIONS,
            budget=RetryBudgetLimits(),
            grace=timedelta(seconds=8),
        ),
    )


def replace_servers(updater, servers, revision):
    listed = dict.fromkeys(servers, revision)
    updater.servers.replace(listed, ListRevisions(revision, revision))


def replace_evacuations(updater, domains, revision):
    listed = dict.fromkeys(domains, revision)
    updater.evacuations.replace(listed, ListRevisions(revision, revision))


NO_REVISIONS = StoreRevisions()


def build_heartbeat(
    name,
    region='west',
    *,
    is_store_reachable=True,
    revisions=NO_REVISIONS,
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
        revisions,
        (),
        is_store_reachable,
    )


@pytest.mark.parametrize(
    ('names', 'without_store', 'region', 'is_watcher'),
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
def test_three_gateways_of_a_region_that_reach_the_store_watch_it(
    names,
    without_store,
    region,
    is_watcher,
):
    core = build_core()
    core.gateways.stalls._settled_from = timedelta()
    for name in names:
        heartbeat = build_heartbeat(
            name, region, is_store_reachable=name not in without_store
        )
        core.gateways.record_heartbeat(heartbeat)
    assert core.is_watcher() == is_watcher


@pytest.mark.parametrize('names', [(), ('b0',)])
def test_a_gateway_that_has_just_started_reads_the_store_and_does_not_watch(
    names,
):
    """It can't know the watchers; with hundreds, all would watch."""
    core = build_core()
    for name in names:
        core.gateways.record_heartbeat(build_heartbeat(name))
    assert not core.is_watcher()
    core.gateways.stalls._settled_from = timedelta()
    assert core.is_watcher()


@pytest.mark.parametrize(
    ('since', 'has_revision', 'servers'),
    [
        (StoreRevisions(), True, 1),
        (StoreRevisions(5, 0), False, 1),
        (StoreRevisions(0, 7), True, 0),
        (StoreRevisions(5, 7), False, 0),
    ],
)
def test_a_snapshot_holds_only_newer_parts(since, has_revision, servers):
    source = build_core('a')
    source.updater.adopt(Revision(3, (), {}, RequestLimits()))
    replace_evacuations(source.updater, ('west-a',), 5)
    replace_servers(source.updater, [SERVER], 7)
    target = SnapshotQuery(since).format_target()
    query = dict(parse_qsl(urlsplit(target).query))
    encoded = encode_snapshot(source.updater, source.state, parse_query(query))
    snapshot = msgspec.msgpack.decode(encoded, type=Snapshot)
    assert (snapshot.revision is not None) == has_revision
    assert len(snapshot.servers) == servers
    receiver = build_core()
    receiver.updater.complete(since)
    apply_snapshot(receiver.updater, encoded, since)
    assert (receiver.state.configuration.version == 3) == has_revision
    assert len(receiver.state.catalogue.list_all()) == servers


@pytest.mark.parametrize(
    ('revisions', 'is_behind'),
    [
        (StoreRevisions(), False),
        (StoreRevisions(1, 0), True),
        (StoreRevisions(0, 1), True),
    ],
)
def test_a_heartbeat_with_a_newer_revision_is_news(revisions, is_behind):
    core = build_core()
    core.apply_heartbeat(build_heartbeat('a', revisions=revisions))
    lag = core.updater.lag
    has_news = [part.find_lag(lag).has_news.is_set() for part in StatePart]
    assert any(has_news) == is_behind
    for part, is_news in zip(StatePart, has_news, strict=True):
        assert is_news == (part.read(revisions) > 0)


def test_an_empty_server_list_advances_the_revision():
    core = build_core()
    replace_servers(core.updater, [SERVER], 7)
    replace_servers(core.updater, [], 9)
    assert core.updater.revisions == StoreRevisions(0, 9)
    assert not core.state.catalogue.list_all()


@pytest.mark.parametrize(
    ('own', 'newer', 'wanted'),
    [
        ((5, 7), (5, 7), []),
        ((5, 7), (6, 7), [(5, UNWANTED)]),
        ((5, 7), (5, 9), [(UNWANTED, 7)]),
        ((5, 7), (6, 9), [(5, UNWANTED), (UNWANTED, 7)]),
        ((5, 9), (6, 7), [(5, UNWANTED)]),
    ],
)
def test_each_part_is_asked_for_alone(own, newer, wanted):
    """A configuration waited for the list of all servers, and then the list
    waited for the configuration."""
    core = build_core()
    core.updater.complete(StoreRevisions(*own))
    core.gateways.record_heartbeat(
        build_heartbeat('a', revisions=StoreRevisions(*newer))
    )
    sources = SnapshotSources(core)
    asked = [
        part.ask_since(part.read(core.updater.known_to))
        for part in StatePart
        if sources.choose(part)
    ]
    assert asked == [StoreRevisions(*one) for one in wanted]


@pytest.mark.parametrize(
    ('since', 'version', 'servers'),
    [
        (StoreRevisions(0, UNWANTED), 3, 1),
        (StoreRevisions(UNWANTED, 0), 0, 0),
    ],
)
def test_a_part_that_was_not_asked_for_is_left_as_it_is(
    since, version, servers
):
    """A list of servers that is left out is not an empty one."""
    source = build_core('a')
    source.updater.adopt(Revision(3, (), {}, RequestLimits()))
    replace_evacuations(source.updater, (), 5)
    replace_servers(source.updater, [], 9)
    receiver = build_core()
    replace_servers(receiver.updater, [SERVER], 7)
    encoded = encode_snapshot(
        source.updater, source.state, SnapshotQuery(since)
    )
    apply_snapshot(receiver.updater, encoded, since)
    assert receiver.state.configuration.version == version
    assert len(receiver.state.catalogue.list_all()) == servers


@pytest.mark.parametrize(
    ('names', 'reports_newer', 'is_told'),
    [((), False, False), (('a',), False, True), (('a',), True, False)],
)
def test_a_gateway_reads_the_store_itself_unless_it_is_told(
    names, reports_newer, is_told
):
    core = build_core()
    clock = ManualClock()
    lag = PartLag(clock, 'operators')
    for name in names:
        core.gateways.record_heartbeat(build_heartbeat(name))
    if reports_newer:
        lag.begin(1, 0)
        clock.advance(timedelta(milliseconds=1001))
    assert is_informed(core.gateways, lag) == is_told


@pytest.mark.parametrize(
    ('part', 'revisions'),
    [
        ('operators', StoreRevisions(5, 0)),
        ('servers', StoreRevisions(0, 5)),
    ],
)
def test_a_gateway_tells_for_how_long_it_has_lacked_a_part(part, revisions):
    """Only operators' state was told of; a late list of servers was not."""
    clock = ManualClock()
    state = create_deployment_state(clock, 'west', REGIONS)
    updater = StateUpdater(state)
    registry = CollectorRegistry()
    StateMetrics(registry, updater.lag)
    updater.record_marks(revisions)
    clock.advance(timedelta(seconds=2))
    lags = {
        name: getattr(updater.lag, name).compute().total_seconds()
        for name in ('operators', 'servers')
    }
    assert lags == {'operators': 0, 'servers': 0, part: 2}
    behind = registry.get_sample_value('baobabhinge_servers_behind_seconds')
    assert behind == lags['servers']
    with capture_logs() as logs:
        replace_evacuations(updater, (), 5)
        replace_servers(updater, [], 5)
        updater.complete(StoreRevisions())
    assert [(one['event'], one['behind_ms']) for one in logs] == [
        (f'{part}-state-late', 2000)
    ]
    assert getattr(updater.lag, part).compute() == timedelta()


def build_lapsing_core(name):
    """Return a core that has lost the entry of a server in an outage."""
    core = build_core(name)
    replace_servers(core.updater, [SERVER], 7)
    core.updater.record_store_failure()
    replace_servers(core.updater, [], 9)
    return core


def exchange_snapshots(source, receiver):
    since = StoreRevisions(UNWANTED, 0)
    encoded = encode_snapshot(
        source.updater, source.state, SnapshotQuery(since)
    )
    apply_snapshot(receiver.updater, encoded, since)


def test_snapshots_do_not_keep_a_server_for_longer():
    """Each snapshot began the time anew for which a lost server is kept."""
    source = build_lapsing_core('a')
    receiver = build_core('b')
    replace_servers(receiver.updater, [SERVER], 7)
    receiver.updater.record_store_failure()
    exchange_snapshots(source, receiver)
    left = source.state.catalogue.removals.list_left()[SERVER.name]
    kept = receiver.state.catalogue.removals.list_left()[SERVER.name]
    assert kept <= left + timedelta(milliseconds=1)
    assert receiver.state.catalogue.list_all()


def test_a_server_that_is_gone_is_not_listed_again_by_a_snapshot():
    receiver = build_core('b')
    replace_servers(receiver.updater, [SERVER], 7)
    replace_servers(receiver.updater, [], 8)
    assert not receiver.state.catalogue.list_all()
    exchange_snapshots(build_lapsing_core('a'), receiver)
    assert not receiver.state.catalogue.list_all()


class EarlierSnapshot(msgspec.Struct):
    """Snapshot of a version that tells only the newest change it has seen."""

    marks: StoreRevisions
    revision: Revision | None = None
    evacuated: tuple[str, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    lapsing_ms: dict[str, int] = {}


@pytest.mark.parametrize('is_store_reachable', [True, False])
def test_a_mark_of_an_earlier_version_does_not_count_as_complete(
    is_store_reachable,
):
    """Its list may lack changes before the mark: the store is read again."""
    receiver = build_core()
    replace_servers(receiver.updater, [SERVER], 7)
    replace_evacuations(receiver.updater, [], 7)
    receiver.updater.is_store_reachable = is_store_reachable
    marks = StoreRevisions(9, 9)
    told = EarlierSnapshot(
        marks, Revision(3, (), {}, RequestLimits()), ('west-a',)
    )
    since = receiver.updater.known_to
    encoded = msgspec.msgpack.encode(told)
    receiver.apply_heartbeat(build_heartbeat('a', revisions=marks))
    apply_snapshot(receiver.updater, encoded, since)
    state = receiver.state
    assert state.configuration.version == 3
    assert bool(state.catalogue.list_all()) == is_store_reachable
    assert bool(state.configuration.evacuated) != is_store_reachable
    assert lacks_changes(receiver.updater)
    assert not marks.is_ahead_of(receiver.updater.known_to)
    # What it passes on is as uncertain.
    encoded = encode_snapshot(
        receiver.updater, state, SnapshotQuery(StoreRevisions())
    )
    passed_on = msgspec.msgpack.decode(encoded, type=Snapshot)
    assert passed_on.complete_to.is_ahead_of(NO_REVISIONS) == is_store_reachable
    replace_servers(receiver.updater, [SERVER], 10)
    replace_evacuations(receiver.updater, [], 10)
    assert not lacks_changes(receiver.updater)
    assert state.catalogue.list_all()
    assert not state.configuration.evacuated


def test_an_earlier_version_reads_what_this_one_tells():
    source = build_core('a')
    source.updater.adopt(Revision(3, (), {}, RequestLimits()))
    replace_evacuations(source.updater, ['west-a'], 5)
    replace_servers(source.updater, [SERVER], 7)
    source.updater.complete(StoreRevisions(5000, 5000))
    encoded = encode_snapshot(
        source.updater, source.state, SnapshotQuery(StoreRevisions())
    )
    told = msgspec.msgpack.decode(encoded, type=EarlierSnapshot)
    # Revisions of changes: that of the store grows with each write.
    assert told.marks == StoreRevisions(5, 7)
    assert source.compose_heartbeat(1, 'west').marks == told.marks
    assert told.servers == (SERVER,)
    assert told.evacuated == ('west-a',)


def test_a_snapshot_with_half_of_a_list_removes_no_newer_server():
    """The sender has not read the page on which the receiver's server is."""
    source = build_core('a')
    replace_servers(source.updater, [], 8)
    receiver = build_core('b')
    receiver.updater.servers.replace({SERVER: 9}, ListRevisions(6, 6))
    exchange_snapshots(source, receiver)
    assert receiver.state.catalogue.list_all()
