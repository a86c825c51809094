"""Error of calls that are refused for the sake of others."""

from baobabhinge_gateway.forwarding.failures import OverloadError


class ShareUsedUpError(OverloadError):
    """Demand exceeds capacity and the call is above its share; not run."""

    code = 'share-used-up'
