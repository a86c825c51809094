"""The life of this gateway process."""

import uuid


class Lifecycle:
    """Incarnation of the process, and whether it is leaving.

    Attributes
    ----------
    incarnation : str
        Random identifier of this start; it never comes back.
    is_draining : bool
        Whether callers and peers are to use other gateways.
    """

    __slots__ = ('incarnation', 'is_draining')

    def __init__(self) -> None:
        """Draw a new incarnation."""
        self.incarnation = uuid.uuid4().hex
        self.is_draining = False
