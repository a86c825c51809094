"""One request as it is sent."""

import msgspec

KEY_HEADER = 'Baobabhinge-Key'
BOUND_HEADER = 'Baobabhinge-Region-Bound'
# Before the service's own path: an empty part, 'services' and its name.
SERVICE_PARTS = 3
WORKSPACE_HEADER = 'Baobabhinge-Workspace'


class Request(msgspec.Struct, frozen=True):
    """A request to any gateway.

    Parameters
    ----------
    kind : str
        Kind of work.
    region : str
        Region of the caller.
    method, path : str
        HTTP method and path.
    body : bytes
        Whole body.
    is_model : bool
        Whether a model is asked.
    is_run_once : bool
        Whether the call may not be repeated.
    is_bound : bool
        Whether it may not leave the region of the caller.
    workspace : str
        Workspace on whose account it runs.
    """

    kind: str
    region: str
    method: str
    path: str
    body: bytes = b''
    is_model: bool = False
    is_run_once: bool = False
    is_bound: bool = False
    workspace: str = ''

    @property
    def service(self) -> str:
        """Return the name of the plain service."""
        return self.path.split('/', SERVICE_PARTS)[-2]

    @property
    def target(self) -> str:
        """Return path and query at the plain service."""
        rest = self.path.split('/', SERVICE_PARTS)[-1]
        return f'/{rest}'

    @property
    def service_path(self) -> str:
        """Return the path that a plain service sees."""
        return self.target.partition('?')[0]

    def list_headers(self, key: str = '') -> dict[str, str]:
        """Return the headers to send.

        Parameters
        ----------
        key : str, optional
            Key of a call that may not be repeated.
        """
        headers = {
            BOUND_HEADER: self.region if self.is_bound else '',
            WORKSPACE_HEADER: self.workspace,
            KEY_HEADER: key,
        }
        return {name: text for name, text in headers.items() if text}
