"""What one call of a caller takes of the capacity."""


class CallShare:
    """Share of a call that is not counted, such as a forwarded one.

    Attributes
    ----------
    wait_factor : float
        Factor of the longest time that the call may queue.
    """

    __slots__ = ('wait_factor',)

    def __init__(self) -> None:
        """Keep the usual bound of the wait."""
        self.wait_factor = 1.0

    def record_wait(self, fraction: float) -> None:
        """Record how long the call is to wait, as a fraction of the bound."""

    def record_placed(self) -> None:
        """Record that a server is to run the call."""
