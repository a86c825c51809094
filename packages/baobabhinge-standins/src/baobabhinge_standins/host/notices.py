"""What a stand-in of a backend server says of itself on its answers."""

from collections.abc import Sequence

import msgspec

from baobabhinge_standins.host.brittleness import ServerBrittleness
from baobabhinge_standins.host.taking_up import StreamTakeUp

LEAVING = ('Server-Leaving', '1')
PAUSE = 'Retry-After'

Fields = Sequence[tuple[str, str]]


class ServerNotice(msgspec.Struct):
    """State of a server, as its answers tell it.

    Parameters
    ----------
    brittle : sequence of str
        How many requests it turns away in a second without falling over, told
        by all answers, each in a field of its own; empty if it is not brittle.
    cold_ms : int
        How much longer it is cold, told by its health check.
    limit : str
        Calls per second that it takes, told by answers; empty for no limit.
    health_limit : str
        The same, told by its health check.
    load : str
        Running and waiting calls, slots and pace, told by answers and health
        checks; empty if it tells none.
    is_leaving : bool
        Whether answers tell that it is leaving.
    is_leaving_in_health : bool
        Whether its health check tells that.
    pauses : sequence of str
        Seconds or dates, each in a field of its own, until which it wants no
        requests; told by answers with which it declines a request.
    health_pauses : sequence of str
        The same, told by health checks, which fail then.
    brittleness : ServerBrittleness
        Its room, and the refusals that it stands, whatever it tells.
    take_up : StreamTakeUp
        How it answers a stream that is taken up after an event.
    """

    brittle: Sequence[str] = ()
    cold_ms: int = 0
    limit: str = ''
    health_limit: str = ''
    load: str = ''
    is_leaving: bool = False
    is_leaving_in_health: bool = False
    pauses: Sequence[str] = ()
    health_pauses: Sequence[str] = ()
    brittleness: ServerBrittleness = msgspec.field(
        default_factory=ServerBrittleness
    )
    take_up: StreamTakeUp = msgspec.field(default_factory=StreamTakeUp)

    def describe_answer(self) -> Fields:
        """Return the headers of an answer."""
        fields = self._describe_state()
        if self.limit:
            fields.append(('Server-Limit', self.limit))
        if self.is_leaving:
            fields.append(LEAVING)
        return fields

    def describe_refusal(self) -> Fields:
        """Return the headers of an answer with which a request is declined."""
        pauses = [(PAUSE, text) for text in self.pauses]
        return [*self.describe_answer(), *pauses]

    def describe_health(self) -> Fields:
        """Return the headers of an answer to a health check."""
        fields = self._describe_state()
        fields.extend((PAUSE, text) for text in self.health_pauses)
        if self.cold_ms:
            fields.append(('Baobabhinge-Cold-Ms', str(self.cold_ms)))
        if self.health_limit:
            fields.append(('Server-Limit', self.health_limit))
        if self.is_leaving_in_health:
            fields.append(LEAVING)
        return fields

    def _describe_state(self) -> list[tuple[str, str]]:
        fields = [('Server-Brittle', text) for text in self.brittle]
        if self.load:
            fields.append(('Baobabhinge-Server-Load', self.load))
        return fields
