"""Orders to model engines, and what engines report."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_platform.machines import Vm


class OrderError(GatewayError):
    """An engine could not be read or did not take an order."""


class StaleOrderError(OrderError):
    """The engine has seen a higher fencing number."""


class OrderDeferredError(OrderError):
    """The engine takes orders again later.

    Parameters
    ----------
    retry_after : timedelta
        Time after which to try again.
    """

    def __init__(self, retry_after: timedelta) -> None:
        """Keep the time."""
        super().__init__(f'try again after {retry_after}')
        self.retry_after = retry_after


class EngineModel(msgspec.Struct, frozen=True, order=True):
    """One version of a model with its adapters.

    Parameters
    ----------
    model, version : str
        Names of the model and of the version.
    adapters : tuple of str
        Names of the adapters, in order.
    """

    model: str
    version: str = ''
    adapters: tuple[str, ...] = ()


class EngineOrder(msgspec.Struct, frozen=True):
    """The wanted end of one engine.

    Parameters
    ----------
    fencing : int
        Fencing number of the lease under which the order is given.
    models : tuple of EngineModel
        Everything that the engine is to have loaded.
    role : str
        ``serve``, or ``drain`` to take no more requests.
    """

    fencing: int
    models: tuple[EngineModel, ...]
    role: str = 'serve'


class EngineState(msgspec.Struct, frozen=True):
    """What an engine has loaded.

    Parameters
    ----------
    vm : Vm
        The vm of the engine.
    loaded : frozenset of EngineModel
        Models that it can run now.
    """

    vm: Vm
    loaded: frozenset[EngineModel]


class PlannedOrder(msgspec.Struct, frozen=True):
    """Models that one engine is to have next.

    Parameters
    ----------
    vm : Vm
        The vm of the engine.
    models : tuple of EngineModel
        Everything that it is to have loaded.
    loaded : frozenset of EngineModel
        What it had loaded when this was planned.
    """

    vm: Vm
    models: tuple[EngineModel, ...]
    loaded: frozenset[EngineModel] = frozenset()
