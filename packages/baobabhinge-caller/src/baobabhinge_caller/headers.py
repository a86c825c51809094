"""Request headers for the terms of a call."""

from datetime import timedelta

from baobabhinge_caller.requests import Terms

MILLISECOND = timedelta(milliseconds=1)


def list_headers(terms: Terms) -> dict[str, str]:
    """Return the headers for ``terms``; unset terms have none."""
    headers = {}
    if terms.deadline is not None:
        milliseconds = max(1, terms.deadline // MILLISECOND)
        headers['Baobabhinge-Deadline-Ms'] = str(milliseconds)
    if terms.regions:
        headers['Baobabhinge-Region-Bound'] = ','.join(terms.regions)
    if terms.workspace:
        headers['Baobabhinge-Workspace'] = terms.workspace
    if terms.regions or terms.workspace:
        # The body is sent only when a gateway that may read it asks for it.
        headers['Expect'] = '100-continue'
    return headers
