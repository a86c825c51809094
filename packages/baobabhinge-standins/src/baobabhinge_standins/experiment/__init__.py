"""Routing policies measured under the same seeded load and faults."""

from baobabhinge_standins.experiment import crowds as crowds
from baobabhinge_standins.experiment import failures as failures
from baobabhinge_standins.experiment import faults as faults
from baobabhinge_standins.experiment.workloads import WORKLOADS as WORKLOADS
from baobabhinge_standins.experiment.workloads import Workload as Workload
