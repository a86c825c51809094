from datetime import timedelta

import msgspec
import pytest

from baobabhinge_standins.fleet import PLANS, Role
from baobabhinge_standins.fleet.members import Roster
from baobabhinge_standins.fleet.views import Views


class RecordedLinks:
    """Links that are opened nowhere."""

    def __init__(self):
        self.orders = []

    async def add(self, orders):
        self.orders.extend(orders)
        return {order.name: 1 for order in self.orders}


async def list_links(plan):
    """Return the orders of links from the first gateway."""
    roster = Roster(plan.failure_domains)
    for region in plan.gateways:
        for _ in range(2):
            roster.add_gateway(region)
            roster.add_backend(Role.engine, region, 'llm')
    links = RecordedLinks()
    members = roster.list_all()
    await Views(plan, links).open_links(members[0], members)
    return links.orders


@pytest.mark.parametrize(
    ('name', 'milliseconds'),
    [('tsukushi', 0.5), ('kranfelder', 1.5)],
)
async def test_latency_between_failure_domains(name, milliseconds):
    plan = msgspec.structs.replace(PLANS[name], failure_domains=2)
    near = plan.home_of_store
    orders = await list_links(plan)
    inside = [order for order in orders if order.destination == near]
    # Each has a gateway and an engine in the other domain.
    assert len(inside) == 2
    assert {order.latency_ms for order in inside} == {milliseconds}
    assert {order.bits_per_second for order in inside} == {0}
    between = {
        order.latency_ms for order in orders if order.destination != near
    }
    assert between == {plan.wan_latency / timedelta(milliseconds=1)}


@pytest.mark.parametrize('name', list(PLANS))
async def test_one_failure_domain_needs_no_link_inside_a_region(name):
    plan = PLANS[name]
    orders = await list_links(plan)
    assert plan.home_of_store not in {order.destination for order in orders}
