"""What must hold for gateways and for what they keep."""

from collections.abc import Iterator

from baobabhinge_standins.soak.evidence import Evidence
from baobabhinge_standins.soak.invariants.registry import register_check


@register_check('bound text stays in its region')
def find_strays(evidence: Evidence) -> Iterator[str]:
    """Yield the places outside a region where its bound text was found."""
    yield from evidence.strays


@register_check('the generation of a gateway never goes down')
def find_reverted(evidence: Evidence) -> Iterator[str]:
    """Yield the gateway processes whose generation went down."""
    for gateway, seen in evidence.generations.items():
        if seen != sorted(seen):
            yield f'{gateway}: {seen}'


@register_check('the last generation is in force everywhere')
def find_stale(evidence: Evidence) -> Iterator[str]:
    """Yield the gateways that are not at the last generation."""
    newest = max(evidence.last_generations.values(), default=0)
    for gateway, generation in evidence.last_generations.items():
        if generation != newest:
            yield f'{gateway} at {generation}, not {newest}'
