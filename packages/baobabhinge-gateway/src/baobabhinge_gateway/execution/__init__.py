"""Running calls: one executor for each kind of call."""

from baobabhinge_gateway.execution.accounts import Accounts as Accounts
from baobabhinge_gateway.execution.assembly import (
    RoutingBuilder as RoutingBuilder,
)
from baobabhinge_gateway.execution.limited import (
    ExecutorLimits as ExecutorLimits,
)
from baobabhinge_gateway.execution.protocol import EXECUTED as EXECUTED
from baobabhinge_gateway.execution.protocol import Executor as Executor
from baobabhinge_gateway.execution.protocol import Executors as Executors
from baobabhinge_gateway.execution.repeatable import (
    RepeatableExecutor as RepeatableExecutor,
)
