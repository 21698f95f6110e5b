"""Abstract client of the object store."""

import abc
import hashlib


class ObjectStore(abc.ABC):
    """Store of immutable objects that are named by the hash of their content."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Returns an object, or None when it does not exist.

        Raises:
            errors.ValidationError: The store rejected the name.
            table.StoreUnavailable: The store gave no usable answer.
        """

    @abc.abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """Stores an object; storing it again has no effect.

        Raises:
            errors.ValidationError: The store rejected the name or the data; nothing was stored.
            table.StoreUnavailable: The store gave no usable answer; the effect is unknown.
        """


def content_name(data: bytes) -> str:
    """Returns the name of an object: the SHA-256 of its content in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
