"""Run the stand-in of a model engine."""

import defopt

from baobabhinge_standins.engine.app import EngineApp
from baobabhinge_standins.engine.batch import EngineSpeed
from baobabhinge_standins.serving import serve


def main(*, port: int, name: str, slots: int = 8) -> None:
    """Serve as one model engine.

    Parameters
    ----------
    port
        TCP port on the loopback address.
    name
        Name of the vm.
    slots
        Requests decoded at once.
    """
    serve(EngineApp(name, EngineSpeed(slots=slots)).build(), port)


if __name__ == '__main__':
    defopt.run(main)
