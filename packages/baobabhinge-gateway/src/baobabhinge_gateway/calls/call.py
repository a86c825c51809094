"""A call from its arrival to its answer."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.calls.hops import Hop, HopList
from baobabhinge_gateway.calls.model_names import ModelName
from baobabhinge_gateway.calls.paths import decode_path
from baobabhinge_settings.model import Service

Headers = tuple[tuple[str, str], ...]


class CallTerms(msgspec.Struct, frozen=True):
    """What the caller asked for beside the answer itself.

    Parameters
    ----------
    deadline : timedelta
        Monotonic time at which the caller stops waiting.
    regions : frozenset of str, optional
        Regions in which the request may be; ``None`` for all.
    workspace : str
        Workspace on whose account the call runs.
    """

    deadline: timedelta
    regions: frozenset[str] | None = None
    workspace: str = ''

    def allows(self, region: str) -> bool:
        """Tell whether the request may be in ``region``."""
        return self.regions is None or region in self.regions


class Call(msgspec.Struct, frozen=True):
    """One call.

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
        Whole body.
    terms : CallTerms
        Deadline, region and workspace.
    hops : HopList
        Gateways passed, this one included.
    streamed : bool
        Whether the answer is a stream of events.
    model : ModelName
        Adapter and version that have to answer; empty for a plain service.
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
        """Tell whether the call may not be repeated."""
        return self.service.is_run_once(self.method, decode_path(self.path))

    def add_tried(self, hop: Hop) -> 'Call':
        """Return the call with ``hop`` among its earlier attempts."""
        return msgspec.structs.replace(self, hops=self.hops.add_tried(hop))
