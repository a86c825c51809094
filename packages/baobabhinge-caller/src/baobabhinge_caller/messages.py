"""Messages that gateways send to callers."""

import msgspec

NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


class EntryGateway(msgspec.Struct, frozen=True):
    """A gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Answer to ``GET /v1/entries``; the best gateway stands first."""

    ttl_seconds: int
    entries: list[EntryGateway]


class KeyBatch(msgspec.Struct, frozen=True):
    """Answer to ``POST /v1/keys``."""

    keys: list[str]
    ttl_seconds: int


class Problem(msgspec.Struct, frozen=True):
    """Problem details of a call without an answer.

    Parameters
    ----------
    code : str
        Stable code; docs/errors.md lists them.
    outcome : str
        ``not-run`` or ``unknown``.
    detail : str
        What happened.
    status : int
        HTTP status; 0 if there was none.
    retry_after_seconds : int
        When to come back, in seconds.
    entries : tuple of EntryGateway
        Gateways that can serve the call.
    """

    code: str
    outcome: str
    detail: str = ''
    status: int = 0
    retry_after_seconds: int = 0
    entries: tuple[EntryGateway, ...] = ()
