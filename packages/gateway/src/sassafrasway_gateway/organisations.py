"""Identifies the organisation of a request by its key."""

from collections.abc import Iterable

from sassafrasway_gateway import messages, model


class OrganisationKeys:
    """Keys of the organisations of one policy version."""

    def __init__(self, organisations: Iterable[model.Organisation]):
        self._by_key = {
            key: organisation for organisation in organisations for key in organisation.keys
        }

    def organisation_of(self, headers: messages.Headers, name: bytes) -> model.Organisation | None:
        """Returns the organisation whose key a request carries; None without a single known key.

        Args:
            headers: Headers of the request.
            name: Header with the key, in lower case.
        """
        values = [value for key, value in headers if key.lower() == name]
        if len(values) != 1:
            return None
        return self._by_key.get(values[0].decode("latin-1"))


def forwarded_headers(
    headers: messages.Headers, names: messages.HeaderNames, organisation: model.Organisation | None
) -> messages.Headers:
    """Returns the headers for a server: without the key, and with the organisation's name.

    A name that the caller has sent is dropped, because servers rely on it.
    """
    dropped = (names.key, names.organisation)
    kept = [(key, value) for key, value in headers if key.lower() not in dropped]
    if organisation is not None:
        kept.append((names.organisation, organisation.name.encode()))
    return kept
