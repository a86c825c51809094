"""Stand-in of the users' platform: its store and its backend servers."""

from baobabhinge_standins.host.arrivals import count_checks as count_checks
from baobabhinge_standins.host.arrivals import list_runs as list_runs
from baobabhinge_standins.host.scene import HostScene as HostScene
from baobabhinge_standins.host.scene import open_scene as open_scene
from baobabhinge_standins.host.scene import wait_until as wait_until
from baobabhinge_standins.host.server import HostServer as HostServer
from baobabhinge_standins.host.server import ServerFault as ServerFault
from baobabhinge_standins.host.store import HostStore as HostStore
from baobabhinge_standins.host.storefaults import StoreFault as StoreFault
