"""Messages that gateways send to callers."""

import msgspec

NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


class EntryGateway(msgspec.Struct, frozen=True):
    """Gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/entries``, the best gateway first."""

    ttl_seconds: int
    entries: list[EntryGateway]


class KeyBatch(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/keys``."""

    keys: list[str]
    ttl_seconds: int


class Problem(msgspec.Struct, frozen=True):
    """Problem details for a call without a complete answer.

    Parameters
    ----------
    code : str
        Stable code; docs/errors.md lists all codes.
    outcome : str
        ``not-run`` or ``unknown``.
    detail : str
        Description for people.
    status : int
        HTTP status; 0 if there was none.
    retry_after_seconds : int
        Time to wait before a retry, in seconds; 0 if none is advised.
    entries : tuple of EntryGateway
        Other gateways that can serve the call.
    """

    code: str
    outcome: str
    detail: str = ''
    status: int = 0
    retry_after_seconds: int = 0
    entries: tuple[EntryGateway, ...] = ()
