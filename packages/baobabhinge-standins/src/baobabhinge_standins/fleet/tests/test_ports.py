import subprocess
import sys

import pytest

from baobabhinge_standins.fleet.ports import HIGHEST_PORT, reserve_port

MANY = 500
PRINT_PORTS = (
    'from baobabhinge_standins.fleet.ports import reserve_port\n'
    f'print(*(reserve_port() for _ in range({MANY})))\n'
    'input()\n'
)


def start_reserving():
    return subprocess.Popen(
        (sys.executable, '-c', PRINT_PORTS),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def test_no_port_is_handed_out_twice():
    ports = [reserve_port() for _ in range(MANY)]
    assert len(set(ports)) == MANY


@pytest.mark.parametrize('count', [2, 4])
def test_processes_side_by_side_hand_out_other_ports(count):
    processes = [start_reserving() for _ in range(count)]
    ports = [process.stdout.readline().split() for process in processes]
    for process in processes:
        process.communicate('\n')
    together = set().union(*ports)
    assert len(together) == count * MANY


def test_no_port_is_one_of_outgoing_connections():
    assert max(reserve_port() for _ in range(MANY)) <= HIGHEST_PORT
