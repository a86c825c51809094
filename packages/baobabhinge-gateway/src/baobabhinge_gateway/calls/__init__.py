"""A call as the gateway carries it, and the places it has passed."""

from baobabhinge_gateway.calls.hops import Hop as Hop
from baobabhinge_gateway.calls.hops import HopList as HopList
from baobabhinge_gateway.calls.model import Call as Call
from baobabhinge_gateway.calls.model import Terms as Terms
