"""Starting a whole deployment as real processes on the loopback address."""

from baobabhinge_standins.fleet.deployment import Deployment as Deployment
from baobabhinge_standins.fleet.deployment import (
    PublishFailedError as PublishFailedError,
)
from baobabhinge_standins.fleet.members import Member as Member
from baobabhinge_standins.fleet.members import Role as Role
from baobabhinge_standins.fleet.plans import PLANS as PLANS
from baobabhinge_standins.fleet.plans import BackendPlan as BackendPlan
from baobabhinge_standins.fleet.plans import DeploymentPlan as DeploymentPlan
from baobabhinge_standins.fleet.readiness import wait_until as wait_until
from baobabhinge_standins.fleet.running import run_deployment as run_deployment
from baobabhinge_standins.fleet.views import name_link as name_link
