"""Execution of calls, with one executor for each kind of call."""

from baobabhinge_gateway.execution.assembly import (
    RoutingBuilder as RoutingBuilder,
)
from baobabhinge_gateway.execution.counters import CallCounters as CallCounters
from baobabhinge_gateway.execution.limits import (
    ExecutorLimits as ExecutorLimits,
)
from baobabhinge_gateway.execution.protocol import (
    OUTCOME_KNOWN as OUTCOME_KNOWN,
)
from baobabhinge_gateway.execution.protocol import Executor as Executor
from baobabhinge_gateway.execution.protocol import Executors as Executors
from baobabhinge_gateway.execution.repeatable import (
    RepeatableExecutor as RepeatableExecutor,
)
