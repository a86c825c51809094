from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_gateway.calls import Hop, HopList
from baobabhinge_gateway.errors import PathLoopError

NAMES = st.text('abcdef-', min_size=1, max_size=6)
HOPS = st.builds(Hop, NAMES, st.sampled_from(['west', 'east', 'south']))
HOP_SEQUENCES = st.lists(HOPS, min_size=1, max_size=8)


def extend_until_refused(hops):
    """Return the list after ``hops``, up to the first one refused."""
    passed = HopList()
    for hop in hops:
        try:
            passed = passed.extend(hop)
        except PathLoopError:
            break
    return passed


@given(HOP_SEQUENCES)
def test_no_path_repeats_a_gateway_or_returns_to_a_left_region(hops):
    accepted = extend_until_refused(hops).hops
    gateways = [hop.gateway for hop in accepted]
    assert len(gateways) == len(set(gateways))
    regions = [hop.region for hop in accepted]
    changes = [
        region
        for index, region in enumerate(regions)
        if not index or regions[index - 1] != region
    ]
    assert len(changes) == len(set(changes))


@given(HOP_SEQUENCES)
def test_the_header_holds_every_hop(hops):
    passed = extend_until_refused(hops)
    assert HopList.parse(passed.render()) == passed


@given(HOP_SEQUENCES, HOPS, HOPS)
def test_no_gateway_accepts_a_call_that_was_tried_there(hops, tried, target):
    received = HopList.parse(
        extend_until_refused(hops).add_tried(tried).render()
    )
    assert received.has_region(tried.region)
    is_same = target.gateway == tried.gateway
    current_region = extend_until_refused(hops).hops[-1].region
    if is_same or (
        target.region == tried.region and target.region != current_region
    ):
        try:
            received.extend(target)
        except PathLoopError:
            return
        raise AssertionError(
            'a gateway or region that was tried was passed again'
        )
