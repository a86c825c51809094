"""Interfaces between forwarding and the adapters of a platform."""

import enum
from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import msgspec
from aiohttp import ClientResponse, web

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.call import Call, CallHead, Headers
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.server_statements import ServerStatement


class AnswerVerdict(enum.Enum):
    """What an answer proves about the run of the call.

    ``answered`` and ``failed`` answers belong to the call, which ran;
    ``declined``: the target did not run it; ``misplaced``: the request reached
    another incarnation of the server, which did not run it; ``foreign``: the
    answer does not belong to the call; ``unknown``: the call may have run;
    ``refused``: no gateway runs the call now.
    """

    answered = 'answered'
    failed = 'failed'
    declined = 'declined'
    misplaced = 'misplaced'
    foreign = 'foreign'
    unknown = 'unknown'
    refused = 'refused'


class HealthCheckResult(msgspec.Struct, frozen=True):
    """Result of a health check.

    Parameters
    ----------
    is_good : bool
        Whether the expected incarnation answered that it takes calls.
    cold_for : timedelta
        How much longer the server is cold.
    has_ended : bool
        Whether the expected incarnation is not there any more.
    """

    is_good: bool
    cold_for: timedelta = timedelta()
    has_ended: bool = False


class CallerProtocol(Protocol):
    """Protocol of the callers of this gateway.

    Attributes
    ----------
    credential_headers : frozenset of str
        Names, in lower case, of the headers with the key and the workspace of
        a caller.
    """

    credential_headers: frozenset[str]

    def read_head(self, request: web.BaseRequest) -> CallHead:
        """Return the head of a request in the terms of the gateway.

        Raises
        ------
        MalformedCallError
            If the head violates the protocol.
        """

    def read_keys(self, request: web.BaseRequest) -> Sequence[str]:
        """Return all keys that a request carries."""

    def describe_refusal(self, error: CallError) -> Headers:
        """Return the headers of a refusal by the gateway itself."""


class BackendProtocol(Protocol):
    """Protocol of the backend servers."""

    def compose_headers(
        self,
        call: Call,
        estimate: ServerEstimate,
        left: timedelta,
    ) -> Headers:
        """Return all headers of the request that carries ``call``.

        Parameters
        ----------
        call : Call
            Call to send.
        estimate : ServerEstimate
            Backend server, and the engine from which it copies a prefix.
        left : timedelta
            Time left until the deadline.
        """

    def classify_answer(
        self, call: Call, response: ClientResponse
    ) -> AnswerVerdict:
        """Return what the head of an answer proves about ``call``."""

    def read_statement(self, response: ClientResponse) -> ServerStatement:
        """Return what the head of an answer says of its server."""

    def compose_check(self, server: BackendServer) -> Headers:
        """Return the headers of a health check request."""

    def read_health(
        self,
        server: BackendServer,
        response: ClientResponse,
    ) -> HealthCheckResult:
        """Return the health that the answer to a health check reports."""

    def measure_events(self, pending: bytes) -> int:
        """Return the length in bytes of the complete events in ``pending``."""

    def read_event_ids(self, events: bytes) -> Sequence[str | None]:
        """Return the ids of these complete events, as far as they have data.

        Raises
        ------
        StreamBrokenError
            If the bytes are no events.
        """


class Responder(Protocol):
    """Channel for the answer to one request.

    Attributes
    ----------
    has_started : bool
        Whether the head of an answer has been sent.
    """

    has_started: bool

    async def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a complete answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of a stream."""

    async def finish(self) -> None:
        """End a stream that is complete."""


class CallDispatcher(Protocol):
    """Dispatcher of calls to backend servers or other gateways."""

    async def serve(self, call: Call, responder: Responder) -> None:
        """Answer ``call`` through ``responder``.

        Raises
        ------
        ForwardingError
            If the call ends without an answer of a backend server.
        """
