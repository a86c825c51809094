"""Where a call is run."""

from baobabhinge_gateway.routing.counters import InFlight as InFlight
from baobabhinge_gateway.routing.dispatch import Dispatcher as Dispatcher
from baobabhinge_gateway.routing.policies import (
    create_policy as create_policy,
)
from baobabhinge_gateway.routing.policies import (
    register_policy as register_policy,
)
from baobabhinge_gateway.routing.router import Router as Router
from baobabhinge_gateway.routing.targets import RoutingPolicy as RoutingPolicy
from baobabhinge_gateway.routing.targets import Target as Target
