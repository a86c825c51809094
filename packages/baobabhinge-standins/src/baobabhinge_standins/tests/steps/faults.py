"""Steps that bring faults about; they act on the fixture ``running``."""

from pytest_bdd import given, parsers, then, when

from baobabhinge_standins.fleet.views import STORE
from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.links import CUT, HALF_OPEN, HEALTHY, REFUSED

LINK_FAULTS = {
    'cut': CUT,
    'refused': REFUSED,
    'half open': HALF_OPEN,
    'healthy': HEALTHY,
}
STORE_FAULTS = {
    'down': StoreFaults(down=True),
    'slow': StoreFaults(slow_seconds=3),
    'losing answers': StoreFaults(lose_answers=3),
    'well': StoreFaults(),
}


@given(parsers.re(r'(?P<name>\S+) is killed'))
@when(parsers.re(r'(?P<name>\S+) is killed'))
def kill(running, loop, name):
    loop.run(running.processes.get(name).kill())


@given(parsers.re(r'(?P<name>\S+) is frozen'))
@when(parsers.re(r'(?P<name>\S+) is frozen'))
def freeze(running, name):
    running.processes.get(name).freeze()


@when(parsers.re(r'(?P<name>\S+) is thawed'))
def thaw(running, name):
    running.processes.get(name).thaw()


@when(parsers.re(r'(?P<name>\S+) gets SIGTERM'))
def terminate(running, name):
    running.processes.get(name).terminate()


@when(parsers.re(r'(?P<name>\S+) is started again'))
def restart(running, loop, name):
    loop.run(running.processes.restart(name))


@given(parsers.parse('the links of {end} are {fault}'))
@when(parsers.parse('the links of {end} are {fault}'))
def set_links(running, loop, end, fault):
    names = running.links.book.find_touching(end)
    assert names
    loop.run(running.links.set_fault(LINK_FAULTS[fault], *names))
    if fault == 'refused':
        loop.run(running.links.reset(*names))


@given(parsers.parse('region {region} is cut off from the others'))
@when(parsers.parse('region {region} is cut off from the others'))
def cut_region(running, loop, region):
    loop.run(running.links.cut_region(region))


@given('no gateway reaches the store')
@when('no gateway reaches the store')
def cut_store(running, loop):
    set_links(running, loop, STORE, 'cut')


@when('all links are healed')
def heal(running, loop):
    loop.run(running.links.heal())


@given(parsers.parse('the store is {state}'))
@when(parsers.parse('the store is {state}'))
def set_store(running, loop, state):
    faults = STORE_FAULTS[state]
    loop.run(running.platform.store.send('PUT', '-/faults', faults))


@when(parsers.re(r'the list of vms says that (?P<name>\S+) is leaving'))
def leave(running, loop, name):
    loop.run(running.vm_lists.set_state(name, 'leaving'))


@then('every gateway is ready')
def wait_ready(running, loop):
    loop.run(running.wait_ready())
