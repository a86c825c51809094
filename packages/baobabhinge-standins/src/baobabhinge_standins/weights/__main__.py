"""Run the stand-in of the weight store."""

import defopt

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.serving import serve
from baobabhinge_standins.weights.app import WeightApp


def main(*, port: int) -> None:
    """Serve weights.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    """
    serve(WeightApp(SystemClock()).build(), port)


if __name__ == '__main__':
    defopt.run(main)
