"""Registries that decorators fill."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Named variants of one kind of behaviour.

    Attributes:
        kind: What is registered, as shown in errors.
        members: The registered objects by name.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.members: dict[str, T] = {}

    def register(self, name: str):
        """Return a decorator that registers its object under a name.

        Args:
            name: The name; unique in this registry.

        Raises:
            ValueError: The name is taken.
        """
        if name in self.members:
            raise ValueError(f"{self.kind} {name!r} is already registered")

        def decorate(member: T) -> T:
            self.members[name] = member
            return member

        return decorate

    def get(self, name: str) -> T:
        """Return the object of a name.

        Raises:
            LookupError: Nothing is registered under the name.
        """
        try:
            return self.members[name]
        except KeyError:
            known = ", ".join(sorted(self.members))
            raise LookupError(f"no {self.kind} {name!r}; known: {known}") from None

    def names(self) -> list[str]:
        """Return all names in order."""
        return sorted(self.members)
