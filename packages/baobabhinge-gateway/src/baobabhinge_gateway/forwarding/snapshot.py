"""What one gateway knows of the deployment, as it is handed to another."""

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Revision


class Marks(msgspec.Struct, array_like=True, frozen=True):
    """How much of the platform's store a gateway has seen.

    Parameters
    ----------
    operators : int
        Newest change of the configuration or of evacuations; 0 for none.
    servers : int
        Newest change of the list of backend servers; 0 for none.
    """

    operators: int = 0
    servers: int = 0

    def is_ahead_of(self, other: 'Marks') -> bool:
        """Whether something newer than in ``other`` was seen."""
        return self.operators > other.operators or self.servers > other.servers


class Snapshot(msgspec.Struct, frozen=True):
    """Configuration, evacuations and backend servers as of some marks.

    Parameters
    ----------
    evacuated : tuple of str
        Failure domains that are to get nothing.
    """

    marks: Marks
    revision: Revision | None
    evacuated: tuple[str, ...]
    servers: tuple[BackendServer, ...]
