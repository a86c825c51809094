"""What this gateway knows about the vms around it."""

from baobabhinge_gateway.fleet.watcher import VmWatcher as VmWatcher
