"""Run the stand-in of an application worker."""

import defopt

from baobabhinge_standins.application.app import ApplicationApp
from baobabhinge_standins.serving import serve


def main(*, port: int, name: str) -> None:
    """Serve as one application worker.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    name
        Name of the vm.
    """
    serve(ApplicationApp(name).build(), port)


if __name__ == '__main__':
    defopt.run(main)
