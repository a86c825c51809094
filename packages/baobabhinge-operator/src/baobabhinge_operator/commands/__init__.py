"""Commands that change the published configuration."""

from baobabhinge_operator.commands.draining import drain as drain
from baobabhinge_operator.commands.publishing import publish as publish
from baobabhinge_operator.commands.restoring import restore as restore
