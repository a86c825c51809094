"""What gateways answer to queries."""

import msgspec


class EntryGateway(msgspec.Struct, frozen=True):
    """One gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Gateways, the best one first."""

    ttl_seconds: int
    entries: list[EntryGateway]


class GatewayStatus(msgspec.Struct, frozen=True):
    """What one gateway says about itself.

    Parameters
    ----------
    vm, region : str
        Which gateway.
    generation : int
        Generation in force there; 0 if it does not answer.
    draining : bool
        Whether it is leaving.
    refused_generation : int
        Newer generation that it can't read; 0 for none.
    leases : list of str
        Duties that it holds.
    gateways : dict of str to str
        State of each gateway of its region that it knows.
    answers : bool
        Whether it answers.
    is_entry : bool
        Whether callers are told to use it.
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
