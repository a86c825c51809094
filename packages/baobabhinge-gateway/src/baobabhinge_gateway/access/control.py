"""Decision which workspace a caller belongs to, by its key."""

from collections.abc import Sequence

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.access.newer_versions import NewerVersions
from baobabhinge_gateway.access.problems import (
    UnconfirmedKeyError,
    UnknownKeyError,
)
from baobabhinge_gateway.deployment import (
    DeploymentConfiguration,
    Route,
    Workspace,
)
from baobabhinge_gateway.forwarding.call import CallHead

log = structlog.get_logger(__name__)


class AccessControl:
    """Find the workspaces of callers in the configuration in force.

    Parameters
    ----------
    configuration : DeploymentConfiguration
        Configuration in force.
    clock : Clock
        Clock of what other gateways report.

    Attributes
    ----------
    configuration : DeploymentConfiguration
        Configuration in force.
    newer : NewerVersions
        Versions that other gateways have in force.
    credential_headers : frozenset of str
        Names, in lower case, of the headers with the key and the workspace of
        a caller; set once the protocol of the callers is known.
    """

    __slots__ = ('_logged', 'configuration', 'credential_headers', 'newer')

    def __init__(
        self, configuration: DeploymentConfiguration, clock: Clock
    ) -> None:
        """Start without knowledge of other gateways."""
        self.configuration = configuration
        self.newer = NewerVersions(clock)
        self.credential_headers: frozenset[str] = frozenset()
        self._logged: dict[str, int] = {}

    def authorize(self, route: Route, keys: Sequence[str]) -> Workspace | None:
        """Return the workspace of a caller; ``None`` if it needs no key.

        Parameters
        ----------
        route : Route
            Route of the call.
        keys : sequence of str
            Digests of the keys that the request carries.

        Raises
        ------
        UnknownKeyError
            If there is not one key, or no workspace holds it.
        UnconfirmedKeyError
            If another gateway has a newer configuration, which may differ.
        """
        configuration = self.configuration
        if not configuration.workspaces or route.is_public:
            return None
        workspace = _find_workspace(configuration, keys)
        if workspace is not None:
            return workspace
        if self.newer.has_newer(configuration.version):
            raise UnconfirmedKeyError(
                'the newest configuration has not reached this gateway yet'
            )
        self._log_removed(keys)
        raise UnknownKeyError('the call needs exactly one key of a workspace')

    def hide_credentials(self, head: CallHead) -> CallHead:
        """Return a head as servers and other gateways may see it.

        Without workspaces, the headers have no meaning and are passed on.
        """
        if not self.configuration.workspaces:
            return head
        return _drop_headers(head, self.credential_headers)

    def _log_removed(self, keys: Sequence[str]) -> None:
        """Log the use of a removed key, once for a workspace and version."""
        configuration = self.configuration
        version = configuration.version
        for name in map(configuration.removed_keys.get, keys):
            if name is not None and self._logged.get(name) != version:
                self._logged[name] = version
                log.warning('removed-key-used', workspace=name, version=version)


def _find_workspace(
    configuration: DeploymentConfiguration, keys: Sequence[str]
) -> Workspace | None:
    if len(keys) != 1:
        return None
    return configuration.workspaces.find(keys[0])


def _drop_headers(head: CallHead, names: frozenset[str]) -> CallHead:
    pairs = head.headers
    kept = tuple(
        (name, text) for name, text in pairs if name.lower() not in names
    )
    if len(kept) == len(pairs):
        return head
    return msgspec.structs.replace(head, headers=kept)
