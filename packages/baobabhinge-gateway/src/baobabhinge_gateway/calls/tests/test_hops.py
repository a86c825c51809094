from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_gateway.calls import Hop, HopList
from baobabhinge_gateway.errors import PathLoopError

NAMES = st.text('abcdef-', min_size=1, max_size=6)
HOPS = st.builds(Hop, NAMES, st.sampled_from(['west', 'east', 'south']))
WALKS = st.lists(HOPS, min_size=1, max_size=8)


def walk(hops):
    """Return the list after the longest part of ``hops`` that is taken."""
    passed = HopList()
    for hop in hops:
        try:
            passed = passed.extend(hop)
        except PathLoopError:
            break
    return passed


@given(WALKS)
def test_no_walk_passes_a_gateway_or_a_left_region_again(hops):
    taken = walk(hops).hops
    gateways = [hop.gateway for hop in taken]
    assert len(gateways) == len(set(gateways))
    regions = [hop.region for hop in taken]
    changes = [
        region
        for index, region in enumerate(regions)
        if not index or regions[index - 1] != region
    ]
    assert len(changes) == len(set(changes))


@given(WALKS)
def test_a_header_carries_every_hop(hops):
    passed = walk(hops)
    assert HopList.parse(passed.render()) == passed


@given(WALKS, HOPS, HOPS)
def test_no_gateway_takes_a_call_whose_place_was_tried(hops, tried, target):
    received = HopList.parse(walk(hops).add_tried(tried).render())
    assert received.has_region(tried.region)
    is_same = target.gateway == tried.gateway
    home = walk(hops).hops[-1].region
    if is_same or (target.region == tried.region and target.region != home):
        try:
            received.extend(target)
        except PathLoopError:
            return
        raise AssertionError('a place was passed twice')
