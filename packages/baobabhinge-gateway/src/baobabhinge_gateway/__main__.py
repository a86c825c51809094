"""Run the daemon as ``python -m baobabhinge_gateway``."""

from baobabhinge_gateway.cli import run

if __name__ == '__main__':
    run()
