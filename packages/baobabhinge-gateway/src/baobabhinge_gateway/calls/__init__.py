"""Calls, and the gateways and regions that they have passed."""

from baobabhinge_gateway.calls.call import Call as Call
from baobabhinge_gateway.calls.call import CallTerms as CallTerms
from baobabhinge_gateway.calls.hops import Hop as Hop
from baobabhinge_gateway.calls.hops import HopList as HopList
