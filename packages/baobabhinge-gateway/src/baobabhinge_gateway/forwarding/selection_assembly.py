"""Construction of the parts of a gateway that select targets."""

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.rankings import find_ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.target_selection import TargetSelector


def build_target_selector(core: GatewayCore) -> TargetSelector:
    """Return the selector of the targets of calls."""
    return TargetSelector(
        Placement(core.state),
        build_region_directory(core),
        core.state,
        find_ranking(core.settings.placing.ranking),
        core.ingress.random,
    )


def build_region_directory(core: GatewayCore) -> RegionDirectory:
    """Return the directory of regions and of their gateways."""
    own = core.settings.own
    return RegionDirectory(
        own.name,
        own.region,
        core.settings.list_regions(),
        core.gateways,
        may_forward=core.settings.placing.lending,
    )
