"""Checks that tell whether the links to all servers are gone, or one server.

Load pattern: all links of a gateway to the servers of its region fail at once.
"""

from collections.abc import Iterable, Sequence
from random import Random

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState

# A few servers show the state of the links to all.
MAX_PROBES = 3


class LinkProbing:
    """Choose servers that show whether links fail or servers do.

    Parameters
    ----------
    state : DeploymentState
        Servers, and which of them are reached.
    random : Random
        Generator that spreads the checks.
    """

    __slots__ = ('_random', '_state')

    def __init__(self, state: DeploymentState, random: Random) -> None:
        """Store the collaborators."""
        self._state = state
        self._random = random

    def choose_checks(
        self, servers: Iterable[BackendServer]
    ) -> Sequence[BackendServer]:
        """Return those of the suspected servers to check now.

        While none of the region is reached, a few show the end of that.
        """
        suspected = list(servers)
        if self._state.is_partitioned:
            return self._sample(suspected)
        return suspected

    def list_untried(self) -> Sequence[BackendServer]:
        """Return servers to check although nothing is known against them.

        There are some while others can't be reached and none has answered
        lately.
        """
        if not self._state.reliability.reach.is_doubtful():
            return []
        return self._sample(self._list_untried())

    def list_witnesses(self, server: BackendServer) -> Sequence[BackendServer]:
        """Return servers to check before ``server`` counts as ended.

        They are of other services: what ends servers of one service does not
        end those of others.
        """
        if server.name not in self._state.reliability.reach.unreached:
            return []
        return self._sample(
            one for one in self._list_untried() if one.service != server.service
        )

    def is_sound(self, server: BackendServer) -> bool:
        """Return whether the links, and not ``server``, have failed."""
        services = {one.service for one in _list_local(self._state)}
        has_others = bool(services - {server.service})
        return has_others and self._state.is_partitioned

    def _list_untried(self) -> Sequence[BackendServer]:
        unreached = self._state.reliability.reach.unreached
        return [
            one for one in _list_local(self._state) if one.name not in unreached
        ]

    def _sample(
        self, servers: Iterable[BackendServer]
    ) -> Sequence[BackendServer]:
        listed = list(servers)
        return self._random.sample(listed, min(len(listed), MAX_PROBES))


def _list_local(state: DeploymentState) -> Sequence[BackendServer]:
    return [
        server
        for server in state.catalogue.list_all()
        if state.is_local(server) and not server.is_leaving
    ]
