"""Parts of the state, which gateways fetch independently of each other."""

import enum

import msgspec

from baobabhinge_gateway.forwarding.snapshot import UNWANTED, StoreRevisions
from baobabhinge_gateway.forwarding.state_lag import PartLag, StateLag


class StatePart(enum.Enum):
    """Part of the state with a store revision of its own."""

    operators = 'operators'
    servers = 'servers'

    def read(self, revisions: StoreRevisions) -> int:
        """Return the revision of this part."""
        revision: int = getattr(revisions, self.value)
        return revision

    def find_lag(self, lag: StateLag) -> PartLag:
        """Return the lag of this part."""
        found: PartLag = getattr(lag, self.value)
        return found

    def ask_since(self, revision: int) -> StoreRevisions:
        """Return the revisions by which this part alone is asked for."""
        nothing = StoreRevisions(UNWANTED, UNWANTED)
        return msgspec.structs.replace(nothing, **{self.value: revision})
