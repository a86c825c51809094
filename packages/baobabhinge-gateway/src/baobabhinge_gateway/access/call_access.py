"""Access of one call, which each newer configuration may end."""

from collections.abc import Sequence

from baobabhinge_gateway.access.control import AccessControl
from baobabhinge_gateway.access.problems import UnconfirmedKeyError
from baobabhinge_gateway.deployment import Revision, Route, Workspace
from baobabhinge_gateway.deployment.workspaces import digest_key
from baobabhinge_gateway.forwarding.call import Call


class CallAccess:
    """Keys of a caller's request, checked under each configuration.

    Only digests of the keys are kept, so that none gets into a log.

    Parameters
    ----------
    control : AccessControl
        Finds the workspace.
    keys : sequence of str
        All keys that the request carries.
    """

    __slots__ = ('_control', '_keys', '_revision', '_workspace')

    def __init__(self, control: AccessControl, keys: Sequence[str]) -> None:
        """Store the digests; nothing is checked."""
        self._control = control
        self._keys = tuple(map(digest_key, keys))
        self._revision: Revision | None = None
        self._workspace: Workspace | None = None

    def check(self, route: Route) -> None:
        """Check the keys under the configuration in force.

        Raises the errors of `AccessControl.authorize`.
        """
        self._workspace = self._control.authorize(route, self._keys)
        self._revision = self._control.configuration.revision

    def confirm(self, call: Call) -> None:
        """Check the keys again if the configuration has changed.

        The call gets its workspace as it is in force, and loses the headers
        that only this gateway may see. Raises the errors of
        `AccessControl.authorize`, and `UnconfirmedKeyError` for a call that
        began for another workspace.
        """
        configuration = self._control.configuration
        if configuration.revision is not self._revision:
            route = configuration.table.find(call.head.host, call.head.path)
            self.check(route or call.route)
        if _has_moved(call.workspace, self._workspace):
            raise UnconfirmedKeyError(
                'the key has been given to another workspace meanwhile'
            )
        call.workspace = self._workspace
        call.head = self._control.hide_credentials(call.head)


class ForwardedAccess:
    """Access of a call that another gateway has checked.

    Parameters
    ----------
    control : AccessControl
        Configuration in force.
    """

    __slots__ = ('_control',)

    def __init__(self, control: AccessControl) -> None:
        """Store the collaborator."""
        self._control = control

    def confirm(self, call: Call) -> None:
        """Hide what the gateway passed on under an older configuration."""
        call.head = self._control.hide_credentials(call.head)


def _has_moved(before: Workspace | None, now: Workspace | None) -> bool:
    return before is not None and now is not None and before.name != now.name
