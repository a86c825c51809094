"""Commands that only read."""

from baobabhinge_operator.queries.checking import check as check
from baobabhinge_operator.queries.comparing import diff as diff
from baobabhinge_operator.queries.explaining import explain as explain
from baobabhinge_operator.queries.gateways import entries as entries
from baobabhinge_operator.queries.gateways import status as status
from baobabhinge_operator.queries.releases import history as history
from baobabhinge_operator.queries.releases import show as show
