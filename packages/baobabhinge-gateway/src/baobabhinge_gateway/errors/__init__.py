"""Exceptions of the gateway, all derived from `GatewayError`."""

from baobabhinge_gateway.errors.base import CallError as CallError
from baobabhinge_gateway.errors.base import GatewayError as GatewayError
from baobabhinge_gateway.errors.base import NotReachedError as NotReachedError
from baobabhinge_gateway.errors.base import Outcome as Outcome
from baobabhinge_gateway.errors.crashes import (
    CrashingRequestError as CrashingRequestError,
)
from baobabhinge_gateway.errors.crashes import (
    EngineCrashedError as EngineCrashedError,
)
from baobabhinge_gateway.errors.limits import (
    LimitReachedError as LimitReachedError,
)
from baobabhinge_gateway.errors.limits import OverloadedError as OverloadedError
from baobabhinge_gateway.errors.limits import (
    WorkspaceShareError as WorkspaceShareError,
)
from baobabhinge_gateway.errors.regions import (
    RegionBoundError as RegionBoundError,
)
from baobabhinge_gateway.errors.regions import (
    WrongRegionError as WrongRegionError,
)
from baobabhinge_gateway.errors.relayed import (
    AnswerCutError as AnswerCutError,
)
from baobabhinge_gateway.errors.relayed import (
    BackendFailedError as BackendFailedError,
)
from baobabhinge_gateway.errors.relayed import (
    CallerLostError as CallerLostError,
)
from baobabhinge_gateway.errors.relayed import (
    RelayedProblemError as RelayedProblemError,
)
from baobabhinge_gateway.errors.requests import (
    MalformedCallError as MalformedCallError,
)
from baobabhinge_gateway.errors.requests import PathLoopError as PathLoopError
from baobabhinge_gateway.errors.requests import (
    UnknownModelError as UnknownModelError,
)
from baobabhinge_gateway.errors.requests import (
    UnknownServiceError as UnknownServiceError,
)
from baobabhinge_gateway.errors.runonce import (
    AnswerNotKeptError as AnswerNotKeptError,
)
from baobabhinge_gateway.errors.runonce import BadKeyError as BadKeyError
from baobabhinge_gateway.errors.runonce import (
    KeyedRefusalError as KeyedRefusalError,
)
from baobabhinge_gateway.errors.runonce import (
    KeyRequiredError as KeyRequiredError,
)
from baobabhinge_gateway.errors.runonce import KeyReusedError as KeyReusedError
from baobabhinge_gateway.errors.runonce import (
    KeysUnavailableError as KeysUnavailableError,
)
from baobabhinge_gateway.errors.runonce import NotRunError as NotRunError
from baobabhinge_gateway.errors.startup import (
    AddressTakenError as AddressTakenError,
)
from baobabhinge_gateway.errors.transport import (
    BodyTooLargeError as BodyTooLargeError,
)
from baobabhinge_gateway.errors.transport import (
    HeadersTooLargeError as HeadersTooLargeError,
)
from baobabhinge_gateway.errors.transport import InternalError as InternalError
from baobabhinge_gateway.errors.transport import (
    SlowRequestError as SlowRequestError,
)
from baobabhinge_gateway.errors.transport import (
    TooManyConnectionsError as TooManyConnectionsError,
)
from baobabhinge_gateway.errors.unavailable import (
    DeadlinePassedError as DeadlinePassedError,
)
from baobabhinge_gateway.errors.unavailable import (
    DrainingError as DrainingError,
)
from baobabhinge_gateway.errors.unavailable import (
    ModelNotLoadedError as ModelNotLoadedError,
)
from baobabhinge_gateway.errors.unavailable import (
    NoBackendServerError as NoBackendServerError,
)
from baobabhinge_gateway.errors.unavailable import (
    NotConfiguredError as NotConfiguredError,
)
from baobabhinge_gateway.errors.unknown_outcomes import (
    AnswerBrokenError as AnswerBrokenError,
)
from baobabhinge_gateway.errors.unknown_outcomes import (
    AnswerTruncatedError as AnswerTruncatedError,
)
from baobabhinge_gateway.errors.unknown_outcomes import (
    OutcomeUnknownError as OutcomeUnknownError,
)
