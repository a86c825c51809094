"""Operators' choice of how calls are placed, from an INI file."""

from pathlib import Path

import msgspec

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.forwarding.rankings import RANKINGS
from baobabhinge_settings import (
    Key,
    SectionForm,
    SettingsError,
    read_single,
)
from baobabhinge_settings.schema.words import one_of, parse_flag


class PlacementPolicyError(GatewayError):
    """The file of the placing policy can't be used."""


class PlacementPolicy(msgspec.Struct, frozen=True):
    """The ``[placing]`` section.

    Parameters
    ----------
    ranking : str
        Name of the order in which backend servers are tried.
    lending : bool
        Whether calls may leave a region that could serve them, but late.
    """

    ranking: str = 'soonest'
    lending: bool = True


PLACEMENT_SECTION = SectionForm(
    'placing',
    (
        Key('ranking', one_of(sorted(RANKINGS)), is_required=False),
        Key('lending', parse_flag, is_required=False),
    ),
)


def read_placement_policy(path: Path) -> PlacementPolicy:
    """Read the INI file at ``path``.

    Raises
    ------
    PlacementPolicyError
        It names every fault of the file, one a line.
    """
    try:
        typed = read_single(path, (PLACEMENT_SECTION,))
    except SettingsError as bad:
        raise PlacementPolicyError(str(bad)) from bad
    return PlacementPolicy(**typed[PLACEMENT_SECTION.name])
