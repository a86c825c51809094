"""Messages about suspects between gateways of one region."""

import msgspec

from baobabhinge_coordination.suspects import CrashRecord


class SuspectNotice(msgspec.Struct, frozen=True):
    """All crashes that a gateway knows, and its claim.

    Parameters
    ----------
    sender : str
        Name of the sending gateway.
    crashes : list of CrashRecord
        Every crash that it knows.
    wanted : str
        Its claim: the fingerprint of a suspect that it wants to run, or the
        engine to run one on; empty if it only reports crashes.
    """

    sender: str
    crashes: list[CrashRecord]
    wanted: str = ''


class SuspectAnswer(msgspec.Struct, frozen=True):
    """Confirmation that the crashes of a notice are recorded.

    Parameters
    ----------
    crashes : list of CrashRecord
        Every crash that the answering gateway knows.
    is_busy : bool
        Whether the sender has to wait: the answering gateway runs the suspect
        or has a claim that comes first.
    """

    crashes: list[CrashRecord]
    is_busy: bool = False
