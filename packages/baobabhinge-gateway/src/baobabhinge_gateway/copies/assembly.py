"""Construction of the sender of calls and their copies."""

from baobabhinge_gateway.copies.chooser import SecondChooser
from baobabhinge_gateway.copies.decisions import CopyDecisions
from baobabhinge_gateway.copies.metrics import CopyMetrics
from baobabhinge_gateway.copies.rules import CopyShare, RecentTimes
from baobabhinge_gateway.copies.sender import CopySender
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.selection_assembly import (
    build_region_directory,
)
from baobabhinge_gateway.forwarding.senders import Senders


def build_copy_sender(core: GatewayCore, senders: Senders) -> CopySender:
    """Return the sender of calls, which sends copies of slow ones.

    Parameters
    ----------
    core : GatewayCore
        State of the gateway.
    senders : Senders
        Senders by kind of target.
    """
    state = core.state
    decisions = CopyDecisions(
        CopyShare(
            core.settings.placing.copy_share, core.ingress.random.random()
        ),
        RecentTimes(state.clock),
        chooser=SecondChooser(state, build_region_directory(core)),
        budget=core.budget,
        metrics=CopyMetrics(core.ingress.metrics.registry),
    )
    return CopySender(senders, decisions, state.clock)
