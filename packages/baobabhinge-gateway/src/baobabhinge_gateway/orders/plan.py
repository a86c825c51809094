"""Which engine is to load what, so that no model is missing meanwhile."""

from collections.abc import Sequence

from baobabhinge_gateway.orders.messages import (
    EngineModel,
    EngineState,
    PlannedOrder,
)
from baobabhinge_settings.model import Placement, Service

ENGINES_PER_CHANGE = 4


def list_wanted_models(service: Service, region: str) -> frozenset[EngineModel]:
    """Return what each engine of ``service`` in ``region`` is to have.

    A service without versions has nothing to load: its engines serve the
    model that they were started with.
    """
    return frozenset(
        EngineModel(
            service.name,
            version.name,
            _list_adapters(service, placement, version.name),
        )
        for placement in service.placements
        if placement.region == region and placement.replicas
        for version in service.versions
        if _is_in(version.name, placement.versions)
    )


def plan_orders(
    wanted: frozenset[EngineModel],
    engines: Sequence[EngineState],
) -> list[PlannedOrder]:
    """Return the orders to give now.

    Only a quarter of the engines changes at a time. An engine drops a model
    only when it has everything that is wanted, or another engine has.

    Parameters
    ----------
    wanted : frozenset of EngineModel
        What each engine is to have at the end; empty gives no orders.
    engines : sequence of EngineState
        The engines of one service in one region that could be read.
    """
    if not wanted:
        return []
    ready = [state for state in engines if wanted <= state.loaded]
    pending = [state for state in engines if state.loaded != wanted]
    pending.sort(
        key=lambda state: (state.loaded.isdisjoint(wanted), state.vm.name)
    )
    at_once = max(1, len(engines) // ENGINES_PER_CHANGE)
    return [
        _plan_one(wanted, state, has_replica=bool(ready))
        for state in pending[:at_once]
    ]


def _plan_one(
    wanted: frozenset[EngineModel],
    state: EngineState,
    *,
    has_replica: bool,
) -> PlannedOrder:
    models = wanted if has_replica else wanted | state.loaded
    return PlannedOrder(state.vm, tuple(sorted(models)), state.loaded)


def _list_adapters(
    service: Service,
    placement: Placement,
    version: str,
) -> tuple[str, ...]:
    return tuple(
        adapter.name
        for adapter in service.adapters
        if _is_in(adapter.name, placement.adapters)
        and _is_in(version, adapter.versions)
    )


def _is_in(name: str, names: tuple[str, ...]) -> bool:
    return name in names or not names
