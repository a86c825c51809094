"""Run the stand-in of the VM list and of the client directory."""

import defopt

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.machines.app import DocumentApp
from baobabhinge_standins.serving import serve


def main(*, port: int) -> None:
    """Serve the lists.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    """
    serve(DocumentApp(SystemClock()).build(), port)


if __name__ == '__main__':
    defopt.run(main)
