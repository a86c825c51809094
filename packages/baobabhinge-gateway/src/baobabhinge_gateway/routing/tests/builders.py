"""Builders and stubs of calls, targets and reports for routing tests."""

from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.admission import WorkspaceShares
from baobabhinge_gateway.calls import Call, CallTerms, HopList
from baobabhinge_gateway.routing.estimates import Estimator
from baobabhinge_gateway.routing.limits import CandidateLimits
from baobabhinge_gateway.routing.registry import PolicyContext, create_policy
from baobabhinge_gateway.routing.targets import RoutingTarget
from baobabhinge_gateway.routing.tracking import TargetTracker
from baobabhinge_platform.machines import Role, Vm
from baobabhinge_settings.model import (
    Objective,
    Placement,
    Service,
    ServiceKind,
)

SEED = 11
SERVICE = Service(
    name='llm',
    kind=ServiceKind.model,
    deadline=timedelta(seconds=20),
    placements=(Placement('west', 3), Placement('east', 3)),
)


class StubLoadReport(msgspec.Struct):
    """Load report with fixed values."""

    running: int
    waiting: int
    slots: int = 4
    age: timedelta = timedelta(milliseconds=200)


class StubLoadSource:
    """Load source with reports by vm name; two gateways in each region."""

    def __init__(self):
        self.reports = {}

    def list_gateways(self, region):
        return [make_target(f'{region}-gateway-{n}').vm for n in range(2)]

    def find_report(self, vm):
        return self.reports.get(vm.name)


class StubRules:
    """Rules that are the same for every service and region."""

    def __init__(self, link_bytes=0, objective=None):
        self._link_bytes = link_bytes
        self._objective = objective or Objective('all', None, 10, 80, 10)

    def find_objective(self, service):
        return self._objective

    def compute_link_rate(self, region):
        return self._link_bytes


class PolicyHarness:
    """Routing policy with a manual clock, fixed reports and a fixed seed."""

    def __init__(self, policy='estimated-latency', link_bytes=1000000):
        self.clock = ManualClock()
        self.loads = StubLoadSource()
        self.tracker = TargetTracker(
            self.clock,
            StubRules(link_bytes),
            WorkspaceShares(),
        )
        self.estimator = Estimator(
            self.tracker.in_flight,
            self.loads,
            self.tracker.observations,
        )
        context = PolicyContext(
            self.clock,
            Random(SEED),
            self.estimator,
            CandidateLimits(self.tracker.circuit_breakers, self.tracker.links),
            StubRules(link_bytes),
        )
        self.policy = create_policy(policy, context)

    def rank(self, call, targets):
        decision = self.policy.rank(call, targets)
        return [candidate.target.vm.name for candidate in decision.candidates]


def make_call(prompt='', service=SERVICE, workspace='', body_size=0):
    body = msgspec.json.encode({'model': 'llm', 'prompt': prompt})
    return Call(
        request_id='r',
        service=service,
        method='POST',
        path='/v1/completions',
        headers=(),
        body=body + b' ' * body_size,
        terms=CallTerms(timedelta(seconds=20), workspace=workspace),
        hops=HopList(),
    )


def make_target(name, in_flight=0, region='west'):
    is_remote = region != 'west'
    role = Role.gateway if is_remote else Role.engine
    vm = Vm(name, f'{name}:1', region, f'{region}-a', role, 'llm')
    return RoutingTarget(vm, is_remote, in_flight)
