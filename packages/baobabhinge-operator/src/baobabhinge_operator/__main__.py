"""Run the operators' command as ``python -m baobabhinge_operator``."""

from baobabhinge_operator.cli import run

if __name__ == '__main__':
    run()
