"""What a soak has left behind."""

import msgspec

from baobabhinge_standins.soak.attempts import CallRecord
from baobabhinge_standins.traffic.audit import Journals


class Evidence(msgspec.Struct, frozen=True):
    """Everything that the invariants are checked against.

    Parameters
    ----------
    records : list of CallRecord
        Every call with what its caller was told.
    journals : Journals
        What backend servers have run.
    strays : list of str
        Places outside a region that hold text bound to it.
    generations : dict of str to list of int
        Generations seen at each gateway process, in order.
    last_generations : dict of str to int
        Generation of each gateway at the end.
    """

    records: list[CallRecord]
    journals: Journals
    strays: list[str] = []
    generations: dict[str, list[int]] = {}
    last_generations: dict[str, int] = {}

    def name_call(self, record: CallRecord) -> str:
        """Return the text that names a call, also in its prompt."""
        return name_call(record.number)


def name_call(number: int) -> str:
    """Return the text that names the call with this number."""
    return f'call-{number}-of-the-soak'
