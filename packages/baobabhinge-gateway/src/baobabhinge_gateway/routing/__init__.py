"""Where a call is run."""

from baobabhinge_gateway.routing import baselines as baselines
from baobabhinge_gateway.routing import estimated as estimated
from baobabhinge_gateway.routing.assembly import (
    RoutingBuilder as RoutingBuilder,
)
from baobabhinge_gateway.routing.assembly import RoutingParts as RoutingParts
from baobabhinge_gateway.routing.decisions import Candidate as Candidate
from baobabhinge_gateway.routing.decisions import Decision as Decision
from baobabhinge_gateway.routing.decisions import DecisionLog as DecisionLog
from baobabhinge_gateway.routing.dispatch import Dispatcher as Dispatcher
from baobabhinge_gateway.routing.router import Router as Router
from baobabhinge_gateway.routing.targets import Target as Target
