"""Messages that gateways answer with."""

import msgspec


class EntryGateway(msgspec.Struct, frozen=True):
    """Gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Gateways that callers may use, the best one first."""

    ttl_seconds: int
    entries: list[EntryGateway]


class GatewayStatus(msgspec.Struct, frozen=True):
    """Status of one gateway, reported by itself unless it does not answer.

    Parameters
    ----------
    vm, region : str
        Name and region of the gateway.
    generation : int
        Generation in force on the gateway; 0 if it does not answer.
    draining : bool
        Whether it is leaving.
    refused_generation : int
        Newer generation that it could not read; 0 for none.
    leases : list of str
        Names of the leases that it holds.
    gateways : dict of str to str
        State of each gateway of its region, as it sees them.
    answers : bool
        Whether it answers.
    is_entry : bool
        Whether it is in the list of gateways for callers.
    """

    vm: str
    region: str
    generation: int = 0
    draining: bool = False
    refused_generation: int = 0
    leases: list[str] = []
    gateways: dict[str, str] = {}
    answers: bool = True
    is_entry: bool = True
