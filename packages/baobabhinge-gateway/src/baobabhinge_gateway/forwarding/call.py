"""A forwarded call: an HTTP request, and what the gateway reads of it."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from baobabhinge_gateway.connections.caller_connection import CallerConnection
from baobabhinge_gateway.deployment import BackendServer, Route, Workspace
from baobabhinge_gateway.forwarding.memory_budget import (
    MemoryUse,
    open_unlimited_use,
)
from baobabhinge_gateway.forwarding.stream_origins import StreamOrigin
from baobabhinge_gateway.shares.call_share import CallShare

Headers = tuple[tuple[str, str], ...]

# Stands for the regions of a call that may be served in none.
NOWHERE = ('-',)


class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt, with a name by which equal parts are recognized.

    Parameters
    ----------
    name : str
        Identifier of the text; equal texts have equal names.
    tokens : int
        Length in tokens.
    """

    name: str
    tokens: int


class Demand(msgspec.Struct, frozen=True):
    """Tokens that a call needs from a model engine.

    Parameters
    ----------
    prompt : int
        Tokens of the prompt.
    output : int
        Upper bound of the tokens to generate.
    parts : tuple of PromptPart
        Prompt in order; the last part is specific to this call.
    expected_output : int
        Tokens that the caller expects to be generated; 0 if it does not say.
    """

    prompt: int
    output: int
    parts: tuple[PromptPart, ...] = ()
    expected_output: int = 0

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Parts at the start of the prompt that other calls may share."""
        return self.parts[:-1]

    @property
    def inner(self) -> tuple[PromptPart, ...]:
        """Shared parts but the first one, which whole routes have in common."""
        return self.shared[1:]

    @property
    def shared_tokens(self) -> int:
        """Length in tokens of the parts that other calls may share."""
        return sum(part.tokens for part in self.shared)


class CallHead(msgspec.Struct, frozen=True):
    """Head of a request, in terms that depend on no protocol.

    Parameters
    ----------
    attempt : str
        Identifier that the caller gave to this attempt.
    method, host, target : str
        Request line; ``target`` is the path with the query, unchanged.
    headers : tuple of pairs
        Headers to pass on unchanged.
    patience : timedelta or None
        Time limit that the caller set, if any.
    demand : Demand or None
        Set on calls for model engines.
    last_event : str or None
        Id of the event after which a stream is to be resumed.
    resumes : str or None
        Attempt that brought the first event of that stream, if the caller names
        it.
    """

    attempt: str
    method: str
    host: str
    target: str
    headers: Headers
    patience: timedelta | None = None
    demand: Demand | None = None
    last_event: str | None = None
    resumes: str | None = None

    @property
    def path(self) -> str:
        """Path of the request, without the query."""
        return self.target.partition('?')[0]


def accept_always(call: 'Call') -> None:
    """Let a call go on, as one whose caller needs no key."""


class Call(msgspec.Struct):
    """Call in progress.

    Parameters
    ----------
    head : CallHead
        Head of the request of the caller.
    body : bytes
        Complete body of the request.
    route : Route
        Route that matched when the call arrived.
    service : str
        Service drawn by the traffic split of the route.
    arrival : timedelta
        Monotonic time at which the call arrived at this gateway.
    deadline : timedelta
        Monotonic time after which an answer is of no use.
    attempts_left : int
        Upper bound of `runs` at this gateway.
    is_from_gateway : bool
        Whether another gateway forwarded the call to this one.
    last_event : str or None
        Id of the last event that was passed on to the caller, if any.
    has_unnamed_events : bool
        Whether an event without an id was passed on, so that no other run can
        go on after it.
    runs : int
        Runs on backend servers that may have begun.
    first_event, latest_event : timedelta or None
        Monotonic time at which the first and the latest chunk of a stream
        arrived.
    run_event : timedelta or None
        Monotonic time at which the first chunk of the latest run arrived.
    fingerprint : str
        Digest of the request; empty until `fingerprint_call` is used.
    origin : StreamOrigin or None
        Where the stream began, once an event of it was passed on or its caller
        has taken it up.
    run_software : str or None
        Version of the software of the server that runs the call.
    part_fingerprints : tuple of str or None
        Digests of parts of the prompt; ``None`` until `fingerprint_parts` is
        used.
    memory : MemoryUse
        Bytes that are held for the call and its answers.
    workspace : Workspace or None
        Workspace of the caller; ``None`` if it needs no key.
    confirm : callable
        Called with the call before each attempt; brings `workspace` up to
        date, and raises an error if the key of the caller is in force no
        longer.
    share : CallShare
        What the call takes of the capacity.
    caller : CallerConnection
        Connection on which the answer is waited for.
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
    has_unnamed_events: bool = False
    runs: int = 0
    first_event: timedelta | None = None
    latest_event: timedelta | None = None
    run_event: timedelta | None = None
    fingerprint: str = ''
    part_fingerprints: tuple[str, ...] | None = None
    origin: StreamOrigin | None = None
    run_software: str | None = None
    memory: MemoryUse = msgspec.field(default_factory=open_unlimited_use)
    workspace: Workspace | None = None
    confirm: Callable[['Call'], None] = accept_always
    share: CallShare = msgspec.field(default_factory=CallShare)
    caller: CallerConnection = msgspec.field(default_factory=CallerConnection)

    @property
    def priority(self) -> int:
        """Priority of the workspace, else that of the route; 0 goes first."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions that route and workspace both allow; empty for all."""
        route = self.route
        if self.workspace is None or not self.workspace.regions:
            return route.regions
        if not route.regions:
            return self.workspace.regions
        return tuple(filter(self.allows, route.regions)) or NOWHERE

    def allows(self, region: str) -> bool:
        """Return whether the call may be served in ``region``."""
        is_allowed = self.workspace is None or self.workspace.allows(region)
        return is_allowed and self.route.allows(region)

    def may_run_on(self, server: BackendServer) -> bool:
        """Return whether ``server`` may begin the call or go on with it."""
        if self.origin is None:
            return True
        return self.origin.matches(server.service, server.software)

    @property
    def has_begun(self) -> bool:
        """Whether part of the answer has been passed on to the caller."""
        return self.last_event is not None

    @property
    def may_run_again(self) -> bool:
        """Whether another run is harmless and within the limit of runs."""
        kind = self.route.kind
        is_harmless = kind.is_repeatable or kind.is_resumable
        if self.has_unnamed_events:
            return False
        return is_harmless and self.runs < self.attempts_left
