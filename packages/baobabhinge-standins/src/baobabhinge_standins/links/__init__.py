"""Fault-injecting TCP links between the processes of a deployment.

Examples
--------
A test cuts the link of one gateway to the key-value service::

    await links.set_fault(CUT, 'west-gateway-1>store')
    ...
    await links.set_fault(HEALTHY)
"""

from baobabhinge_standins.links.client import Links as Links
from baobabhinge_standins.links.messages import CUT as CUT
from baobabhinge_standins.links.messages import HALF_OPEN as HALF_OPEN
from baobabhinge_standins.links.messages import HEALTHY as HEALTHY
from baobabhinge_standins.links.messages import REFUSED as REFUSED
from baobabhinge_standins.links.messages import Impairment as Impairment
from baobabhinge_standins.links.messages import LinkFault as LinkFault
from baobabhinge_standins.links.messages import LinkOrder as LinkOrder
from baobabhinge_standins.links.messages import LinkTraffic as LinkTraffic
