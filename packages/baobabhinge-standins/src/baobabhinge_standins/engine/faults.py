"""Faults of an engine that a test switches on."""

import msgspec
from aiohttp import web


class EngineFaults(msgspec.Struct, frozen=True):
    """Present faults.

    Parameters
    ----------
    slowdown : float
        Factor on the time of prefill and decoding.
    late_seconds : float
        Wait before a request is taken up, in seconds.
    stall_after_tokens : int, optional
        The answer stops after these tokens and stays open.
    reset_after_tokens : int, optional
        The connection is reset after these tokens.
    wrong_request_id : bool
        The answer names another request.
    ending_seconds : float
        Time from the break of every answer to the end of the process, when a
        request crashes the engine, in seconds.
    ends_in_silence : bool
        Whether it answers nothing in that time, though it accepts
        connections.
    draining : bool
        The load report says that the engine is leaving.
    reported_running, reported_waiting : int, optional
        What the load report says instead of the truth.
    count : int, optional
        Number of requests to come that stall, are reset or are answered with
        a wrong identifier; all of them if it is left out.
    """

    slowdown: float = 1
    late_seconds: float = 0
    stall_after_tokens: int | None = None
    reset_after_tokens: int | None = None
    wrong_request_id: bool = False
    ending_seconds: float = 0
    ends_in_silence: bool = False
    draining: bool = False
    reported_running: int | None = None
    reported_waiting: int | None = None
    count: int | None = None


class FaultDesk:
    """The present faults, and which requests they befall.

    Attributes
    ----------
    present : EngineFaults
        Faults as last set.
    """

    __slots__ = ('_left', 'present')

    def __init__(self) -> None:
        """Start without faults."""
        self.present = EngineFaults()
        self._left: int | None = None

    def draw(self) -> EngineFaults:
        """Return the faults that befall the next request."""
        if self._left is None:
            return self.present
        if not self._left:
            return msgspec.structs.replace(
                self.present,
                stall_after_tokens=None,
                reset_after_tokens=None,
                wrong_request_id=False,
            )
        self._left -= 1
        return self.present

    async def apply(self, request: web.Request) -> web.Response:
        """Set the faults of the body, in place of the present ones."""
        body = await request.read()
        self.present = msgspec.json.decode(body, type=EngineFaults)
        self._left = self.present.count
        return web.Response()
