"""Run the process that holds the links."""

import defopt

from baobabhinge_standins.links.app import LinkApp
from baobabhinge_standins.serving import serve


def main(*, port: int) -> None:
    """Hold fault-injecting TCP links.

    Parameters
    ----------
    port
        TCP port of the control interface on the loopback address.
    """
    serve(LinkApp().build(), port)


if __name__ == '__main__':
    defopt.run(main)
