"""Faults of the links."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from baobabhinge_standins.fleet.views import STORE
from baobabhinge_standins.links import (
    CUT,
    HEALTHY,
    Impairment,
    LinkFault,
    Links,
)
from baobabhinge_standins.soak.faults.registry import register_fault
from baobabhinge_standins.soak.schedule import TargetKind
from baobabhinge_standins.soak.stage import Stage

SLOW = LinkFault(
    Impairment(delay_ms=300, bits_per_second=2_000_000),
    Impairment(delay_ms=300, bits_per_second=2_000_000),
)
ONE_WAY = LinkFault(backward=Impairment(is_cut=True))


@register_fault('cut-region', TargetKind.region)
async def cut_region(stage: Stage, target: str) -> AsyncIterator[None]:
    """Cut a region off from the others."""
    links = stage.deployment.links
    async with _impair(links, CUT, links.book.find_crossing(target)):
        yield


@register_fault('cut-store', TargetKind.deployment)
async def cut_store(stage: Stage, target: str) -> AsyncIterator[None]:
    """Cut every gateway off from the key-value service."""
    links = stage.deployment.links
    async with _impair(links, CUT, links.book.find_touching(STORE)):
        yield


@register_fault('cut-answers-to-gateway', TargetKind.gateway)
async def cut_answers(stage: Stage, target: str) -> AsyncIterator[None]:
    """Let a gateway send to others and hear nothing from them."""
    links = stage.deployment.links
    async with _impair(links, ONE_WAY, links.book.find_leaving(target)):
        yield


@register_fault('slow-links', TargetKind.region)
async def slow_links(stage: Stage, target: str) -> AsyncIterator[None]:
    """Slow the links of a region to the others."""
    links = stage.deployment.links
    async with _impair(links, SLOW, links.book.find_crossing(target)):
        yield


@register_fault('reset-connections', TargetKind.gateway)
async def reset_connections(stage: Stage, target: str) -> AsyncIterator[None]:
    """Reset the open connections of a gateway, at both ends of the time."""
    links = stage.deployment.links
    names = links.book.find_touching(target)
    await links.reset(*names)
    yield
    await links.reset(*names)


@asynccontextmanager
async def _impair(
    links: Links,
    fault: LinkFault,
    names: Iterable[str],
) -> AsyncIterator[None]:
    await links.set_fault(fault, *names)
    yield
    await links.set_fault(HEALTHY, *names)
