"""Choice of the backend server or remote gateway that runs a call."""

from baobabhinge_gateway.routing import baselines as baselines
from baobabhinge_gateway.routing import latency_policy as latency_policy
from baobabhinge_gateway.routing.configured_policy import (
    ConfiguredPolicy as ConfiguredPolicy,
)
from baobabhinge_gateway.routing.decision_log import DecisionLog as DecisionLog
from baobabhinge_gateway.routing.decision_log import (
    DecisionSummary as DecisionSummary,
)
from baobabhinge_gateway.routing.decisions import Candidate as Candidate
from baobabhinge_gateway.routing.decisions import Decision as Decision
from baobabhinge_gateway.routing.dispatch import (
    CandidateDispatcher as CandidateDispatcher,
)
from baobabhinge_gateway.routing.registry import PolicyContext as PolicyContext
from baobabhinge_gateway.routing.registry import create_policy as create_policy
from baobabhinge_gateway.routing.router import Router as Router
from baobabhinge_gateway.routing.rules import RoutingRules as RoutingRules
from baobabhinge_gateway.routing.targets import RoutingTarget as RoutingTarget
from baobabhinge_gateway.routing.tracking import TargetTracker as TargetTracker
