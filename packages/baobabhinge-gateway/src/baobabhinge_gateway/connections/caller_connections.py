"""Connections on which callers wait, and counts of those that have left."""

from aiohttp import web
from prometheus_client import CollectorRegistry, Counter, Histogram

from baobabhinge_gateway.connections.caller_connection import CallerConnection
from baobabhinge_gateway.connections.connection import BoundedConnection
from baobabhinge_gateway.connections.loop_delay import LoopDelay

# In seconds, around the half second after which no server may work for a caller
# that has left.
DELAY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class CallerConnections:
    """Connections of the callers of one gateway.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of all metrics of the process.

    Attributes
    ----------
    loop_delay : LoopDelay
        Durations of the latest runs of the event loop.
    """

    __slots__ = ('_delay', '_left', 'loop_delay')

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics, all at zero."""
        self.loop_delay = LoopDelay()
        self._left = Counter(
            'baobabhinge_calls_caller_left',
            'Calls that ended after their callers had left',
            ('connection',),
            registry=registry,
        )
        self._delay = Histogram(
            'baobabhinge_call_read_delay_seconds',
            'Time for which a request can have waited for the event loop',
            buckets=DELAY_BUCKETS,
            registry=registry,
        )

    def find(self, request: web.BaseRequest) -> CallerConnection:
        """Return the connection of a request whose handler begins."""
        connection = request.protocol
        is_new = False
        if isinstance(connection, BoundedConnection):
            is_new = connection.is_first_request
        return CallerConnection(request, self.loop_delay.read(is_new=is_new))

    def record_end(self, caller: CallerConnection) -> None:
        """Record the delay of a call that has ended, and if its caller left."""
        self._delay.observe(caller.read_delay.total_seconds())
        if caller.has_left():
            state = 'read' if caller.is_read else 'unread'
            self._left.labels(state).inc()
