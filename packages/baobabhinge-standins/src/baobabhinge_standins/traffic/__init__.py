"""Example requests, their verified answers and what became of them."""

from baobabhinge_standins.traffic.exchange import HttpSender as HttpSender
from baobabhinge_standins.traffic.judging import judge as judge
from baobabhinge_standins.traffic.keys import KeyRing as KeyRing
from baobabhinge_standins.traffic.records import Records as Records
from baobabhinge_standins.traffic.requests import Request as Request
from baobabhinge_standins.traffic.script import Script as Script
from baobabhinge_standins.traffic.script import read_script as read_script
from baobabhinge_standins.traffic.verdicts import Verdict as Verdict
