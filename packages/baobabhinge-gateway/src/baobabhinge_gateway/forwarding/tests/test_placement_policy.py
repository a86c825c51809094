import pytest

from baobabhinge_gateway.forwarding.placement_policy import (
    PlacementPolicy,
    PlacementPolicyError,
    read_placement_policy,
)


@pytest.mark.parametrize(
    ('text', 'policy'),
    [
        ('[placing]\n', PlacementPolicy()),
        (
            '[placing]\nranking = random\nlending = false\n',
            PlacementPolicy('random', lending=False),
        ),
    ],
)
def test_a_policy_is_read(tmp_path, text, policy):
    path = tmp_path / 'gateway.ini'
    path.write_text(text)
    assert read_placement_policy(path) == policy


@pytest.mark.parametrize(
    ('text', 'told'),
    [
        ('[placing]\nranking = best\n', 'least-in-flight, random, soonest'),
        ('[placing]\nlending = maybe\n', 'allowed: true, false'),
        ('[placing]\nspeed = 1\n', 'has no key "speed"'),
    ],
)
def test_faults_are_told_with_what_is_allowed(tmp_path, text, told):
    path = tmp_path / 'gateway.ini'
    path.write_text(text)
    with pytest.raises(PlacementPolicyError, match=told):
        read_placement_policy(path)
