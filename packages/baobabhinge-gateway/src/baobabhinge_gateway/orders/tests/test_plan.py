from datetime import timedelta

import pytest

from baobabhinge_gateway.orders.messages import EngineModel, EngineState
from baobabhinge_gateway.orders.plan import list_wanted_models, plan_orders
from baobabhinge_platform.machines import Role, Vm
from baobabhinge_settings.model import (
    Adapter,
    ModelVersion,
    Placement,
    Service,
    ServiceKind,
)

OLD = EngineModel('llm', 'v1')
NEW = EngineModel('llm', 'v2')
WANTED = frozenset((NEW,))


def build_state(name, *models):
    vm = Vm(name, f'{name}:1', 'west', 'west-a', Role.engine, 'llm')
    return EngineState(vm, frozenset(models))


def build_service(*placements):
    return Service(
        'llm',
        ServiceKind.model,
        timedelta(seconds=1),
        placements=placements,
        versions=(ModelVersion('v1', 'a'), ModelVersion('v2', 'b')),
        adapters=(Adapter('covers', 'c', ('v2',)), Adapter('maps', 'd')),
    )


@pytest.mark.parametrize(
    ('placements', 'expected'),
    [
        ([], []),
        ([Placement('east', 1)], []),
        ([Placement('west', 0)], []),
        (
            [Placement('west', 1, ('v2',))],
            [EngineModel('llm', 'v2', ('covers', 'maps'))],
        ),
        (
            [Placement('west', 1, (), ('maps',))],
            [
                EngineModel('llm', 'v1', ('maps',)),
                EngineModel('llm', 'v2', ('maps',)),
            ],
        ),
    ],
)
def test_wanted_models_follow_the_placements(placements, expected):
    wanted = list_wanted_models(build_service(*placements), 'west')
    assert sorted(wanted) == expected


@pytest.mark.parametrize(
    ('loaded', 'expected'),
    [
        pytest.param([[NEW], [NEW]], {}, id='all engines done'),
        pytest.param(
            [[], []], {'e0': [NEW]}, id='empty engines, one at a time'
        ),
        pytest.param(
            [[OLD], [OLD]], {'e0': [OLD, NEW]}, id='the last copies are kept'
        ),
        pytest.param(
            [[OLD, NEW], [OLD]],
            {'e0': [NEW]},
            id='old unloaded once the engine has the new',
        ),
        pytest.param(
            [[NEW], [OLD]],
            {'e1': [NEW]},
            id='old unloaded once another engine has the new',
        ),
        pytest.param([[OLD]], {'e0': [OLD, NEW]}, id='a single engine'),
        pytest.param(
            [[OLD] for _ in range(8)],
            {'e0': [OLD, NEW], 'e1': [OLD, NEW]},
            id='a quarter at a time',
        ),
    ],
)
def test_one_step_towards_the_wanted_models(loaded, expected):
    states = [build_state(f'e{n}', *models) for n, models in enumerate(loaded)]
    orders = plan_orders(WANTED, states)
    assert {order.vm.name: list(order.models) for order in orders} == expected


@pytest.mark.parametrize('count', [1, 2, 5])
def test_some_engine_has_a_model_loaded_at_every_step(count):
    engines = {f'e{number}': frozenset((OLD,)) for number in range(count)}
    steps = 0
    while set(engines.values()) != {WANTED}:
        states = [
            build_state(name, *models) for name, models in engines.items()
        ]
        for order in plan_orders(WANTED, states):
            engines[order.vm.name] &= frozenset(order.models)
            assert any(engines.values())
            engines[order.vm.name] = frozenset(order.models)
        steps += 1
        assert steps < 20
