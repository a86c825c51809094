"""What gateways of one region say to each other about suspects."""

import msgspec

from baobabhinge_coordination.suspects import CrashRecord


class SuspectNotice(msgspec.Struct, frozen=True):
    """Every crash that a gateway knows, and what it wants to run.

    Parameters
    ----------
    sender : str
        Name of the gateway.
    crashes : list of CrashRecord
        Its crashes.
    wanted : str
        What it claims: the fingerprint of a suspect that it wants to run, or
        the engine to run one on; empty if it only tells.
    """

    sender: str
    crashes: list[CrashRecord]
    wanted: str = ''


class SuspectAnswer(msgspec.Struct, frozen=True):
    """Confirmation that the crashes are known.

    Parameters
    ----------
    crashes : list of CrashRecord
        Every crash that the answering gateway knows.
    is_busy : bool
        Whether the claim has to wait, because the answering gateway has it.
    """

    crashes: list[CrashRecord]
    is_busy: bool = False
