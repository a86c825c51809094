"""What a stand-in of a backend server says of itself on its answers."""

import msgspec


class ServerNotice(msgspec.Struct):
    """State of a server, as its answers tell it.

    Parameters
    ----------
    cold_ms : int
        How much longer it is cold, told by its health check.
    limit : str
        Calls per second that it takes, told by answers; empty for no limit.
    health_limit : str
        The same, told by its health check.
    """

    cold_ms: int = 0
    limit: str = ''
    health_limit: str = ''

    def describe_answer(self) -> dict[str, str]:
        """Return the headers of an answer."""
        return {'Server-Limit': self.limit} if self.limit else {}

    def describe_health(self) -> dict[str, str]:
        """Return the headers of an answer to a health check."""
        headers = {}
        if self.cold_ms:
            headers['Baobabhinge-Cold-Ms'] = str(self.cold_ms)
        if self.health_limit:
            headers['Server-Limit'] = self.health_limit
        return headers
