"""Run the stand-in of the key-value service."""

import defopt

from baobabhinge_standins.keyvalue.app import KeyValueApp
from baobabhinge_standins.serving import serve


def main(*, port: int) -> None:
    """Serve the key-value interface.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    """
    serve(KeyValueApp().build(), port)


if __name__ == '__main__':
    defopt.run(main)
