"""Messages between a test and the process that holds the links."""

import msgspec


class Impairment(msgspec.Struct, frozen=True):
    """What is wrong with one direction of a link.

    Parameters
    ----------
    delay_ms : float
        Added one-way delay, in milliseconds.
    bits_per_second : int
        Bandwidth of this direction of this link alone; 0 sets no limit.
    is_cut : bool
        Whether bytes are held back until the fault is taken away.
    reset_after_bytes : int, optional
        Reset the connection that carries this byte, counted from the moment
        at which the fault is set; it happens once.
    """

    delay_ms: float = 0
    bits_per_second: int = 0
    is_cut: bool = False
    reset_after_bytes: int | None = None


class LinkFault(msgspec.Struct, frozen=True):
    """What is wrong with a link.

    Parameters
    ----------
    forward, backward : Impairment
        Towards the target, and back.
    is_refused : bool
        Whether nothing listens; connections that are open stay.
    is_half_open : bool
        Whether new connections are accepted and never reach the target.
    """

    forward: Impairment = Impairment()
    backward: Impairment = Impairment()
    is_refused: bool = False
    is_half_open: bool = False


HEALTHY = LinkFault()
CUT = LinkFault(Impairment(is_cut=True), Impairment(is_cut=True))
REFUSED = LinkFault(is_refused=True)
HALF_OPEN = LinkFault(is_half_open=True)


class LinkOrder(msgspec.Struct, frozen=True):
    """A link to be opened.

    Parameters
    ----------
    name : str
        Name of the link, ``<who connects>><to whom>``.
    target : str
        ``host:port`` to which connections are passed on.
    source, destination : str
        Regions of the two ends.
    latency_ms : float
        One-way latency without a fault, in milliseconds.
    bits_per_second : int
        Bandwidth that all links from ``source`` to ``destination`` share, and
        again those back; 0 sets no limit.
    """

    name: str
    target: str
    source: str = ''
    destination: str = ''
    latency_ms: float = 0
    bits_per_second: int = 0


class OpenedLink(msgspec.Struct, frozen=True):
    """Port at which a link listens."""

    name: str
    port: int


class FaultOrder(msgspec.Struct, frozen=True):
    """Set one fault at some links; no name means every link."""

    fault: LinkFault
    names: list[str] = []


class LinkTraffic(msgspec.Struct, frozen=True):
    """Bytes that a link has carried, and its connections so far."""

    name: str
    source: str
    destination: str
    forward_bytes: int
    backward_bytes: int
    connections: int
