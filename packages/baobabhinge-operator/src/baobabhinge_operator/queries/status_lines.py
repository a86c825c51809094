"""Status of gateways as lines of text."""

from collections.abc import Iterable

from baobabhinge_operator.queries.gateway_answers import GatewayStatus


def render_status(gateway: GatewayStatus) -> str:
    """Return the status of one gateway as a line."""
    return ', '.join(_list_parts(gateway))


def _list_parts(gateway: GatewayStatus) -> Iterable[str]:
    yield f'{gateway.vm} {gateway.region}: generation {gateway.generation}'
    if not gateway.is_entry:
        yield 'no entry for callers'
        yield gateway.gateways.get(gateway.vm, 'alive')
    elif not gateway.answers:
        yield 'does not answer'
    if gateway.draining:
        yield 'draining'
    if gateway.refused_generation:
        yield f'can not read generation {gateway.refused_generation}'
    yield from gateway.leases
