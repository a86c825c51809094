"""Counters of the traffic between this gateway and its peers."""

import msgspec


class PeerTraffic(msgspec.Struct):
    """Heartbeats exchanged since the start.

    Parameters
    ----------
    questions_sent, questions_received : int
        Number of heartbeats sent to peers, and of those received from them.
    failures : int
        Number of heartbeats sent that were not answered.
    bytes_sent, bytes_received : int
        Bytes of the bodies of heartbeats and of their answers, without
        HTTP headers.
    """

    questions_sent: int = 0
    questions_received: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
