"""Counts of what this gateway and its peers sent each other."""

import msgspec


class PeerTraffic(msgspec.Struct):
    """Bodies of heartbeats since the start.

    Parameters
    ----------
    questions_sent, questions_received : int
        Number of heartbeats sent, and of those answered.
    failures : int
        Number of heartbeats sent that were not answered.
    bytes_sent, bytes_received : int
        Bytes of the bodies of heartbeats and of their answers.
    """

    questions_sent: int = 0
    questions_received: int = 0
    failures: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
