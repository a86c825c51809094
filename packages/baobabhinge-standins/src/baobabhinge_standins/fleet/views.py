"""The list of vms as each gateway sees it: others behind links."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from baobabhinge_standins.fleet.members import Member, Role
from baobabhinge_standins.fleet.plans import DeploymentPlan
from baobabhinge_standins.fleet.ports import HOST
from baobabhinge_standins.links import LinkOrder, Links

STORE = 'store'
CALLERS = 'callers'
MILLISECOND = timedelta(milliseconds=1)


class Views:
    """Links between the members of a deployment.

    Parameters
    ----------
    plan : DeploymentPlan
        Latency and bandwidth, and which links inside a region there are.
    links : Links
        Where the links are opened.
    """

    __slots__ = ('_links', '_plan', '_ports')

    def __init__(self, plan: DeploymentPlan, links: Links) -> None:
        """Open nothing yet."""
        self._plan = plan
        self._links = links
        self._ports: dict[str, int] = {}

    async def open_store_links(
        self,
        gateways: Iterable[Member],
        address: str,
    ) -> None:
        """Open a link from each gateway to the key-value service."""
        region = self._plan.home_of_store
        target = address.removeprefix('http://')
        self._ports |= await self._links.add(
            _order(self._plan, gateway, STORE, region, target)
            for gateway in gateways
        )

    async def open_links(
        self,
        viewer: Member,
        members: Iterable[Member],
    ) -> None:
        """Open the missing links from a gateway to ``members``."""
        orders = [
            _order_member(self._plan, viewer, member)
            for member in members
            if _is_linked(self._plan, viewer, member)
        ]
        missing = [order for order in orders if order.name not in self._ports]
        if missing:
            self._ports |= await self._links.add(missing)

    async def open_caller_links(self, gateways: Iterable[Member]) -> None:
        """Open a link from the callers to each gateway, if the plan says so."""
        if self._plan.caller_latency:
            self._ports |= await self._links.add(
                LinkOrder(
                    name_link(CALLERS, gateway.name),
                    gateway.caller_address,
                    gateway.region,
                    gateway.region,
                    self._plan.caller_latency / MILLISECOND,
                )
                for gateway in gateways
            )

    def get_caller_address(self, gateway: Member) -> str:
        """Return the address at which callers reach ``gateway``."""
        port = self._ports.get(name_link(CALLERS, gateway.name))
        return f'{HOST}:{port}' if port else gateway.caller_address

    def get_address(self, viewer: Member, member: Member) -> str:
        """Return the address at which ``viewer`` reaches ``member``."""
        port = self._ports.get(name_link(viewer.name, member.name))
        return f'{HOST}:{port}' if port else member.address

    def get_store_address(self, viewer: Member) -> str:
        """Return the URL at which ``viewer`` reaches the key-value service."""
        port = self._ports[name_link(viewer.name, STORE)]
        return f'http://{HOST}:{port}'


def name_link(source: str, destination: str) -> str:
    """Return the name of the link between two members."""
    return f'{source}>{destination}'


def _is_linked(plan: DeploymentPlan, viewer: Member, member: Member) -> bool:
    if viewer.name == member.name:
        return False
    if viewer.region != member.region:
        return True
    if plan.domain_latency and _crosses_domains(viewer, member):
        return True
    if member.role is Role.gateway:
        return plan.faulty_peers
    return plan.faulty_backends


def _crosses_domains(viewer: Member, member: Member) -> bool:
    is_regional = viewer.region == member.region
    return is_regional and viewer.failure_domain != member.failure_domain


def _order_member(
    plan: DeploymentPlan,
    viewer: Member,
    member: Member,
) -> LinkOrder:
    order = _order(plan, viewer, member.name, member.region, member.address)
    if not _crosses_domains(viewer, member):
        return order
    latency = plan.domain_latency / MILLISECOND
    return msgspec.structs.replace(order, latency_ms=latency)


def _order(
    plan: DeploymentPlan,
    viewer: Member,
    name: str,
    region: str,
    target: str,
) -> LinkOrder:
    link = name_link(viewer.name, name)
    if viewer.region == region:
        return LinkOrder(link, target, region, region)
    return LinkOrder(
        link,
        target,
        viewer.region,
        region,
        plan.wan_latency / MILLISECOND,
        plan.link_bits_per_second,
    )
