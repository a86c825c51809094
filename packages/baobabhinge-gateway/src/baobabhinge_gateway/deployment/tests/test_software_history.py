"""Versions of the software that are known to have served lately."""

from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.deployment import BackendServer, ServerCatalogue
from baobabhinge_gateway.deployment.servers import find_sole_software

SECOND = timedelta(seconds=1)
WITHIN = 16 * SECOND


def build_server(name, software, service='model'):
    return BackendServer(name, service, f'{name}:1', 'a', software=software)


def build_catalogue(clock, *servers):
    catalogue = ServerCatalogue(clock)
    catalogue.history.record_list()
    for server in servers:
        catalogue.put(server)
    return catalogue


@pytest.mark.parametrize(
    ('seconds', 'software'), [(0, None), (15, None), (16, 'v1'), (3600, 'v1')]
)
def test_a_sole_version_is_known_after_the_longest_call(seconds, software):
    clock = ManualClock()
    other = build_server('c', 'v2', 'other')
    catalogue = build_catalogue(clock, build_server('a', 'v1'), other)
    clock.advance(seconds * SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) == software


@pytest.mark.parametrize(('seconds', 'software'), [(16, None), (17, 'v2')])
@pytest.mark.parametrize('is_same_server', [False, True])
def test_a_version_counts_for_as_long_as_a_call_may_last(
    seconds, software, is_same_server
):
    """Also if a server starts again under its name with another version."""
    clock = ManualClock()
    catalogue = build_catalogue(clock, build_server('a', 'v1'))
    clock.advance(60 * SECOND)
    if not is_same_server:
        catalogue.remove('a')
        # Removals take effect when servers are listed, as for each call.
        assert not catalogue.list_all()
    catalogue.put(build_server('a' if is_same_server else 'b', 'v2'))
    clock.advance(seconds * SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) == software


@pytest.mark.parametrize(
    ('known_s', 'told', 'software'),
    [
        (60, [('model', 'v1')], 'v1'),
        (20, [('model', 'v1')], 'v1'),
        (10, [('model', 'v1')], None),
        (60, [('model', 'v1'), ('model', 'v2')], None),
        (60, [('model', 'v2')], None),
        (60, [('other', 'v2')], 'v1'),
    ],
)
def test_a_process_that_starts_knows_what_others_told(known_s, told, software):
    clock = ManualClock()
    catalogue = build_catalogue(clock, build_server('a', 'v1'))
    catalogue.history.inherit(told, known_s * SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) == software


def test_processes_do_not_remind_each_other_for_ever():
    clock = ManualClock()
    catalogue = build_catalogue(clock, build_server('a', 'v1'))
    for _ in range(120):
        catalogue.history.inherit([('model', 'v2')], 60 * SECOND)
        clock.advance(SECOND)
    clock.advance(SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) == 'v1'


def test_nothing_is_known_without_a_list():
    catalogue = ServerCatalogue(ManualClock())
    catalogue.history.inherit([('model', 'v1')], 60 * SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) is None


@pytest.mark.parametrize(
    ('seconds', 'software'), [(0, None), (2, None), (3, 'v1')]
)
def test_no_version_is_known_alone_while_the_store_fails(seconds, software):
    """Others may list servers of another version meanwhile."""
    clock = ManualClock()
    catalogue = build_catalogue(clock, build_server('a', 'v1'))
    clock.advance(60 * SECOND)
    catalogue.record_store_failure()
    clock.advance(seconds * SECOND)
    assert find_sole_software(catalogue, 'model', WITHIN) == software
