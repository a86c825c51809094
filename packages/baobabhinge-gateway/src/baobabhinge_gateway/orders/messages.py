"""Orders to model engines, and what engines report."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_platform.machines import Vm


class OrderError(GatewayError):
    """An engine could not be read or did not accept an order."""


class StaleOrderError(OrderError):
    """The engine has received a higher fencing number."""


class OrderDeferredError(OrderError):
    """The engine asks to retry the order later.

    Parameters
    ----------
    retry_after : timedelta
        Delay that the engine asks for.
    """

    def __init__(self, retry_after: timedelta) -> None:
        """Store the delay."""
        super().__init__(f'the engine asks to retry after {retry_after}')
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
    """The target state of one engine.

    Parameters
    ----------
    fencing : int
        Fencing number of the lease under which the order is sent.
    models : tuple of EngineModel
        All models that the engine has to have loaded.
    role : str
        ``serve``, or ``drain`` to accept no more requests.
    """

    fencing: int
    models: tuple[EngineModel, ...]
    role: str = 'serve'


class EngineState(msgspec.Struct, frozen=True):
    """Models that an engine has loaded.

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
    """Models that one engine has to load or keep in the next step.

    Parameters
    ----------
    vm : Vm
        The vm of the engine.
    models : tuple of EngineModel
        All models that it has to have loaded.
    loaded : frozenset of EngineModel
        Models that it had loaded when the order was planned.
    """

    vm: Vm
    models: tuple[EngineModel, ...]
    loaded: frozenset[EngineModel] = frozenset()
