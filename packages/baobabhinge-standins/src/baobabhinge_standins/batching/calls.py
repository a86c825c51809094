"""Routes and calls of the model, as gateways read them."""

from baobabhinge_gateway.deployment import CallKind, Route, Split
from baobabhinge_gateway.forwarding.call import Call, CallHead, Demand
from baobabhinge_standins.batching.workload import CallMix, DrawnCall

SERVICE = 'model'


def build_route(mix: CallMix) -> Route:
    """Return the route of the calls of a kind."""
    return Route(
        mix.name,
        'host',
        f'/{mix.name}/',
        CallKind.streamed,
        (Split(SERVICE, 1),),
        mix.time_limit,
        mix.objective,
        priority=mix.priority,
    )


def build_call(drawn: DrawnCall) -> Call:
    """Return a drawn call as a gateway reads it."""
    demand = Demand(
        drawn.prompt,
        drawn.mix.max_output,
        expected_output=drawn.expected_output,
    )
    return Call(
        head=CallHead('attempt', 'POST', 'host', '/', (), demand=demand),
        body=b'',
        route=build_route(drawn.mix),
        service=SERVICE,
        arrival=drawn.arrival,
        deadline=drawn.arrival + drawn.mix.time_limit,
        attempts_left=1,
    )
