"""Time as an interface, with a system clock and a manual one."""

from baobabhinge_coordination.clock.manual import ManualClock as ManualClock
from baobabhinge_coordination.clock.protocol import Clock as Clock
from baobabhinge_coordination.clock.system import BootClock as BootClock
from baobabhinge_coordination.clock.system import SystemClock as SystemClock
