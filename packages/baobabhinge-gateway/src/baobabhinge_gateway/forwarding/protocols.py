"""What adapters say of calls, answers and health checks."""

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


class AnswerVerdict(enum.Enum):
    """What an answer proves about the run of the call."""

    answered = 'answered'
    failed = 'failed'
    declined = 'declined'
    misplaced = 'misplaced'
    foreign = 'foreign'
    unknown = 'unknown'


class HealthCheckResult(msgspec.Struct, frozen=True):
    """Result of a health check.

    Parameters
    ----------
    is_good : bool
        Whether the expected incarnation answered and takes calls.
    cold_for : timedelta
        How much longer it is cold.
    """

    is_good: bool
    cold_for: timedelta = timedelta()


class CallerProtocol(Protocol):
    """How callers speak to this gateway."""

    def read_head(self, request: web.BaseRequest) -> CallHead:
        """Return the terms of a request.

        Raises
        ------
        MalformedCallError
            If the head breaks the protocol.
        """

    def describe_refusal(self, error: CallError) -> Headers:
        """Return the headers of a final answer of the gateway's own."""


class BackendProtocol(Protocol):
    """How calls are sent to a backend server."""

    def compose_headers(
        self,
        call: Call,
        estimate: ServerEstimate,
        left: timedelta,
    ) -> Headers:
        """Return all headers of the request."""

    def classify_answer(
        self, call: Call, response: ClientResponse
    ) -> AnswerVerdict:
        """Return what the head of an answer proves."""

    def compose_check(self, server: BackendServer) -> Headers:
        """Return the headers of a health check."""

    def read_health(
        self,
        server: BackendServer,
        response: ClientResponse,
    ) -> HealthCheckResult:
        """Return what the answer to a health check says."""

    def measure_events(self, pending: bytes) -> int:
        """Return the length of the whole events at the start of a text."""

    def read_last_event(self, events: bytes) -> str | None:
        """Return the identity of the last of whole ``events``."""


class Responder(Protocol):
    """Way back to the caller."""

    has_started: bool

    async def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a whole answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""

    async def write(self, piece: bytes) -> None:
        """Send a piece of a stream."""

    async def finish(self) -> None:
        """End a stream as complete."""


class GatewayListing(Protocol):
    """Live gateways, as far as this one knows."""

    def list_names(self, region: str) -> Sequence[str]:
        """Return the live gateways of ``region``, this one included."""

    def list_addresses(self, region: str) -> Sequence[str]:
        """Return where other ready gateways of ``region`` take calls."""
