"""Client of the platform's list of vms, which lags behind their state."""

from baobabhinge_platform.machines.listing import VmListClient as VmListClient
from baobabhinge_platform.machines.listing import VmListError as VmListError
from baobabhinge_platform.machines.listing import decode_vms as decode_vms
from baobabhinge_platform.machines.vm import Fencing as Fencing
from baobabhinge_platform.machines.vm import Role as Role
from baobabhinge_platform.machines.vm import Vm as Vm
from baobabhinge_platform.machines.vm import VmState as VmState
