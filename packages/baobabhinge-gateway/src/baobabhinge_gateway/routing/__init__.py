"""Where a call is run."""

from baobabhinge_gateway.routing import baselines as baselines
from baobabhinge_gateway.routing import estimated as estimated
from baobabhinge_gateway.routing.configured import (
    ConfiguredPolicy as ConfiguredPolicy,
)
from baobabhinge_gateway.routing.decisionlog import DecisionLog as DecisionLog
from baobabhinge_gateway.routing.decisionlog import (
    DecisionSummary as DecisionSummary,
)
from baobabhinge_gateway.routing.decisions import Candidate as Candidate
from baobabhinge_gateway.routing.decisions import Decision as Decision
from baobabhinge_gateway.routing.dispatch import Dispatcher as Dispatcher
from baobabhinge_gateway.routing.registry import PolicyParts as PolicyParts
from baobabhinge_gateway.routing.registry import create_policy as create_policy
from baobabhinge_gateway.routing.router import Router as Router
from baobabhinge_gateway.routing.rules import RoutingRules as RoutingRules
from baobabhinge_gateway.routing.targets import Target as Target
from baobabhinge_gateway.routing.tracking import TargetTracker as TargetTracker
