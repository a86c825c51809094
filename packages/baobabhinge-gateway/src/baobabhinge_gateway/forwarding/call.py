"""A forwarded call: an opaque HTTP request with its terms."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import Route

Headers = tuple[tuple[str, str], ...]


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, named so that its copies can be told.

    Parameters
    ----------
    name : str
        Identity of the text.
    tokens : int
        Length.
    """

    name: str
    tokens: int


class Demand(msgspec.Struct, frozen=True):
    """What a call asks of a model engine.

    Parameters
    ----------
    prompt : int
        Tokens to read.
    output : int
        Tokens to write at most.
    parts : tuple of PromptPart
        The prompt in order; the last part is the call's own.
    """

    prompt: int
    output: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts that other calls may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Length of the parts that other calls may share."""
        return sum(part.tokens for part in self.shared)


class CallHead(msgspec.Struct, frozen=True):
    """What the head of a request says, in the product's terms.

    Parameters
    ----------
    attempt : str
        Identity of this attempt of the caller.
    method, host, target : str
        Request line; ``target`` is the path with the query, unchanged.
    headers : tuple of pairs
        Headers that are passed on unchanged.
    patience : timedelta or None
        How long the caller waits, if it says so.
    demand : Demand or None
        Set on calls for model engines.
    last_event : str or None
        Event after which a stream is to go on.
    """

    attempt: str
    method: str
    host: str
    target: str
    headers: Headers
    patience: timedelta | None = None
    demand: Demand | None = None
    last_event: str | None = None

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


class Call(msgspec.Struct):
    """A call on its way.

    Parameters
    ----------
    head : CallHead
        What the caller sent.
    body : bytes
        Whole body.
    route : Route
        Route in force when the call arrived.
    service : str
        Service drawn from the splits of the route.
    deadline : timedelta
        Monotonic time after which no answer is of use.
    attempts_left : int
        Backend servers to which it may still be sent.
    is_from_gateway : bool
        Whether another gateway forwarded it to this one.
    last_event : str or None
        Event after which its stream goes on, if it was resumed.
    runs : int
        Backend servers that may have begun to run it.
    first_event : timedelta or None
        Monotonic time at which the first event of a stream came.
    """

    head: CallHead
    body: bytes
    route: Route
    service: str
    arrival: timedelta
    deadline: timedelta
    attempts_left: int
    is_from_gateway: bool = False
    last_event: str | None = None
    runs: int = 0
    first_event: timedelta | None = None

    @property
    def may_run_again(self) -> bool:
        """Whether one more run does no harm and is within the limit."""
        kind = self.route.kind
        is_harmless = kind.is_repeatable or kind.is_resumable
        return is_harmless and self.runs < self.attempts_left
