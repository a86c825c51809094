"""Journal and faults of an application worker."""

import msgspec


class Run(msgspec.Struct):
    """One call that was run."""

    request_id: str
    method: str
    path: str
    body: str


class ApplicationFaults(msgspec.Struct):
    """Present faults.

    Parameters
    ----------
    slow_seconds : float
        Wait between recording a call and answering it, in seconds.
    cut_after_effect : int
        Number of calls to come that run but whose connection is cut.
    """

    slow_seconds: float = 0
    cut_after_effect: int = 0
