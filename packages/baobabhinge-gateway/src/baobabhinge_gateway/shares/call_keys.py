"""What decides over the share of a call."""

import msgspec

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.shares.entries import Kind, name_entry, name_level


class CallKey(msgspec.Struct, frozen=True):
    """What decides over the share of a call.

    Parameters
    ----------
    service, workspace, route : str
        Names; the workspace is empty if the caller needs no key.
    priority, route_priority : int
        Priorities of the call and of its route; 0 is the most urgent.
    """

    service: str
    workspace: str
    route: str
    priority: int
    route_priority: int

    def list_entries(self) -> tuple[int, int, int]:
        """Return the entries of its priority, workspace and route."""
        return (
            name_level(self.priority, self.route_priority),
            name_entry(Kind.workspace, self.workspace),
            name_entry(Kind.route, self.route),
        )


def build_key(call: Call) -> CallKey:
    """Return what decides over the share of ``call``."""
    return CallKey(
        call.service,
        call.workspace.name if call.workspace else '',
        call.route.name,
        call.priority,
        call.route.priority,
    )
