"""Life cycle of components on one event loop."""

import abc


class Component(abc.ABC):
    """Take part in the life cycle of the gateway."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Begin to work."""

    def leave(self) -> None:  # noqa: B027
        """Prepare for the end while requests are still served."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """End what is in progress and release everything."""
