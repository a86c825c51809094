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
    late_seconds : float
        Wait before a call is run, in seconds; a caller that goes away
        meanwhile has had nothing run.
    holds : bool
        A call that was recorded waits until the faults are set again, and
        goes on under these.
    slow_seconds : float
        Wait between recording a call and answering it, in seconds.
    cut_after_effect : int
        Number of calls to come that run but whose connection is cut.
    wrong_request_id : bool
        The answer names another request.
    draining : bool
        The load report says that the worker is leaving.
    """

    late_seconds: float = 0
    holds: bool = False
    slow_seconds: float = 0
    cut_after_effect: int = 0
    wrong_request_id: bool = False
    draining: bool = False
