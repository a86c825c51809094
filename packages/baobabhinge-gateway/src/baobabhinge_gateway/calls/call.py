"""Calls, and the terms that their callers set."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.calls.hops import Hop, HopList
from baobabhinge_gateway.calls.model_names import ModelName
from baobabhinge_gateway.calls.paths import decode_path
from baobabhinge_settings.model import Service

Headers = tuple[tuple[str, str], ...]


class CallTerms(msgspec.Struct, frozen=True):
    """Terms that the caller set for a call.

    Parameters
    ----------
    deadline : timedelta
        Monotonic time at which the caller stops waiting for the answer.
    regions : frozenset of str, optional
        Regions that the request may enter; ``None`` for all.
    workspace : str
        Workspace that the call is accounted to; empty for none.
    """

    deadline: timedelta
    regions: frozenset[str] | None = None
    workspace: str = ''

    def allows(self, region: str) -> bool:
        """Return whether the request may enter ``region``."""
        return self.regions is None or region in self.regions


class Call(msgspec.Struct, frozen=True):
    """A call on its way to a backend server.

    Parameters
    ----------
    request_id : str
        Identifier that the answer has to name.
    service : Service
        Service that the call is for.
    method, path : str
        Method, and path with its query, at the backend server.
    headers : tuple of pairs
        End-to-end headers.
    body : bytes
        Complete body.
    terms : CallTerms
        Deadline, region and workspace.
    hops : HopList
        Gateways passed, this one included.
    streamed : bool
        Whether the answer is a stream of events.
    model : ModelName
        Model, adapter and version to run; empty for a plain service.
    """

    request_id: str
    service: Service
    method: str
    path: str
    headers: Headers
    body: bytes
    terms: CallTerms
    hops: HopList
    streamed: bool = False
    model: ModelName = ModelName()

    @property
    def is_run_once(self) -> bool:
        """Return whether the call must not run twice."""
        return self.service.is_run_once(self.method, decode_path(self.path))

    def add_tried(self, hop: Hop) -> 'Call':
        """Return the call with ``hop`` added to the gateways tried."""
        return msgspec.structs.replace(self, hops=self.hops.add_tried(hop))
