"""Life cycle of components that share an event loop."""

import abc


class Component(abc.ABC):
    """Take part in the life cycle of the gateway."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start the component."""

    def leave(self) -> None:  # noqa: B027
        """Start draining; requests are still served until `stop`."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop work in progress and release all resources."""
