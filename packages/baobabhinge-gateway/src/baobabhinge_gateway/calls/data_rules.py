"""Data rules applied to calls: the regions that a call may enter."""

import msgspec

from baobabhinge_gateway.calls.call import Call
from baobabhinge_gateway.calls.hops import HopList
from baobabhinge_settings.model import Settings
from baobabhinge_settings.model.rules import DataOrigin


def find_data_origin(
    settings: Settings,
    service: str,
    workspace: str,
    hops: HopList,
) -> DataOrigin:
    """Return the origin of the data that a call carries.

    Parameters
    ----------
    settings : Settings
        Settings in force.
    service, workspace : str
        Service that the call is for, and workspace of the caller.
    hops : HopList
        Gateways passed; data of a workspace without a home belong to the
        region of the first one.
    """
    region = settings.get_data_region(workspace, hops.entry_hop.region)
    return DataOrigin(service, workspace, region)


def restrict_call(call: Call, settings: Settings) -> Call:
    """Return ``call`` restricted to the regions that the data rules allow."""
    if not settings.data_rules:
        return call
    workspace = call.terms.workspace
    origin = find_data_origin(settings, call.service.name, workspace, call.hops)
    allowed = settings.list_allowed_regions(origin)
    if call.terms.regions is not None:
        allowed &= call.terms.regions
    terms = msgspec.structs.replace(call.terms, regions=allowed)
    return msgspec.structs.replace(call, terms=terms)
