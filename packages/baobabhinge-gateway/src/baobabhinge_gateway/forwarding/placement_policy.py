"""Placement policy of calls, which operators set in an INI file."""

from pathlib import Path

import msgspec

from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.forwarding.rankings import RANKINGS
from baobabhinge_gateway.pace.learning import LearningMode
from baobabhinge_settings import (
    Key,
    SectionSchema,
    SettingsError,
    read_settings_file,
)
from baobabhinge_settings.schema.numbers import parse_share
from baobabhinge_settings.schema.text_values import (
    create_choice_parser,
    parse_flag,
)


class PlacementPolicyError(GatewayError):
    """The file of the placement policy is unreadable or invalid."""


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Contents of the file.

    Parameters
    ----------
    ranking : str
        Name of the order in which backend servers are tried.
    lending : bool
        Whether calls may be forwarded to another region while the local
        region has available servers, but would answer late.
    learning : LearningMode
        Services whose servers' speeds are learned.
    copy_share : float
        Second copies of slow calls, as a share of the calls of a service.
    """

    ranking: str = 'soonest'
    lending: bool = True
    learning: LearningMode = LearningMode.told
    copy_share: float = 0


PLACEMENT_SECTION = SectionSchema(
    'placing',
    (
        Key(
            'ranking', create_choice_parser(sorted(RANKINGS)), is_required=False
        ),
        Key('lending', parse_flag, is_required=False),
    ),
)
UNEVEN_SECTION = SectionSchema(
    'uneven-servers',
    (
        Key(
            'learning',
            create_choice_parser([mode.value for mode in LearningMode]),
            is_required=False,
        ),
    ),
)
COPIES_SECTION = SectionSchema(
    'second-copies', (Key('share', parse_share, is_required=False),)
)
SECTIONS = (PLACEMENT_SECTION, UNEVEN_SECTION, COPIES_SECTION)


def read_placement_policy(path: Path) -> PlacementPolicy:
    """Read the INI file at ``path``.

    Raises
    ------
    PlacementPolicyError
        If the file has faults; the message lists each on a line of its own.
    """
    try:
        typed = read_settings_file(path, SECTIONS)
    except SettingsError as bad:
        raise PlacementPolicyError(str(bad)) from bad
    uneven = typed[UNEVEN_SECTION.name]
    copies = typed[COPIES_SECTION.name]
    return PlacementPolicy(
        **typed[PLACEMENT_SECTION.name],
        learning=LearningMode(uneven.get('learning', LearningMode.told)),
        copy_share=copies.get('share', 0),
    )
