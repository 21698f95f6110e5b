"""Abstract client of the platform's list of instances."""

import abc
import dataclasses
import enum


class ListedState(enum.Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """One instance in the list.

    Attributes:
        address: ``host:port`` of the instance's RPC server.
    """

    name: str
    address: str
    failure_domain: str
    state: ListedState = ListedState.LIVE


class InstanceList(abc.ABC):
    """List of instances; it may be out of date."""

    @abc.abstractmethod
    async def fetch(self) -> list[ListedInstance]:
        """Returns the current list.

        Raises:
            errors.ValidationError: The service rejected the request.
            table.StoreUnavailable: The service gave no usable answer.
        """
