"""Planning of model changes that keep every model available."""

from collections.abc import Sequence

from baobabhinge_gateway.orders.messages import (
    EngineModel,
    EngineState,
    PlannedOrder,
)
from baobabhinge_settings.model import Placement, Service

ENGINES_PER_CHANGE = 4


def list_wanted_models(service: Service, region: str) -> frozenset[EngineModel]:
    """Return the models that engines of ``service`` in ``region`` must load.

    A service without versions has no models to load: its engines serve the
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
        if _is_selected(version.name, placement.versions)
    )


def plan_orders(
    wanted: frozenset[EngineModel],
    engines: Sequence[EngineState],
) -> list[PlannedOrder]:
    """Return the orders to send now.

    One in `ENGINES_PER_CHANGE` engines changes at a time, at least one. An
    engine unloads a model only while it or another engine has all wanted
    models loaded.

    Parameters
    ----------
    wanted : frozenset of EngineModel
        Models that each engine has to have at the end; if empty, there are
        no orders.
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
    changing_count = max(1, len(engines) // ENGINES_PER_CHANGE)
    return [
        _plan_order(wanted, state, has_ready_engine=bool(ready))
        for state in pending[:changing_count]
    ]


def _plan_order(
    wanted: frozenset[EngineModel],
    state: EngineState,
    *,
    has_ready_engine: bool,
) -> PlannedOrder:
    models = wanted if has_ready_engine else wanted | state.loaded
    return PlannedOrder(state.vm, tuple(sorted(models)), state.loaded)


def _list_adapters(
    service: Service,
    placement: Placement,
    version: str,
) -> tuple[str, ...]:
    return tuple(
        adapter.name
        for adapter in service.adapters
        if _is_selected(adapter.name, placement.adapters)
        and _is_selected(version, adapter.versions)
    )


def _is_selected(name: str, names: tuple[str, ...]) -> bool:
    return name in names or not names
