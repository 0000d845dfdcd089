"""Keep the configuration that is in force and tell others of it."""

import collections.abc
import dataclasses
import enum
import hashlib
import threading

from trefoilstand import exceptions
from trefoilstand.configuration import loader
from trefoilstand.configuration import models
from trefoilstand.telemetry import events

Listener = collections.abc.Callable[[models.VersionedConfiguration], None]


class ConfigurationRevertedError(exceptions.InvariantError):
    """Represent an older configuration that was about to be in force."""


class Offer(enum.StrEnum):
    """What became of an offered text."""

    ACCEPTED = "accepted"
    NOT_NEWER = "not_newer"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RejectedText:
    """Remember a text that failed its checks."""

    version: int
    digest: str
    faults: tuple[str, ...]


class ConfigurationCoordinator:
    """Accept newer configurations and fan them out.

    The highest version wins.  Where two texts carry the same version, the
    one with the greater digest wins, so that all entry hosts agree.
    """

    def __init__(self) -> None:
        self._lock = threading.RLock()
        self._current: models.VersionedConfiguration | None = None
        self._listeners: list[Listener] = []
        self.last_rejected: RejectedText | None = None

    @property
    def current(self) -> models.VersionedConfiguration | None:
        """Return the configuration in force, None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        current = self._current
        return current.version if current else 0

    @property
    def order_key(self) -> tuple[int, str]:
        """Return what decides which of two configurations wins."""
        current = self._current
        return (current.version, current.digest) if current else (0, "")

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each configuration that comes in force."""
        self._listeners.append(listener)

    def offer(self, *, version: int, text: str, source: str) -> Offer:
        """Put a text in force if it is newer and passes its checks.

        :param version: version given by the configuration service.
        :param text: operators' text.
        :param source: where the text came from, for logs and faults.
        """
        digest = hashlib.sha256(text.encode()).hexdigest()
        with self._lock:
            if (version, digest) <= self.order_key:
                self._note_fork(version, digest, source)
                return Offer.NOT_NEWER
            rejected = self.last_rejected
            if rejected and (version, digest) == (
                rejected.version,
                rejected.digest,
            ):
                return Offer.REJECTED
            try:
                loaded = loader.load_versioned(
                    source_name=source, text=text, version=version
                )
            except exceptions.TextFaultsError as group:
                self._reject(version, digest, source, group)
                return Offer.REJECTED
            self._note_fork(version, digest, source)
            self._put_in_force(loaded, source)
            return Offer.ACCEPTED

    def _put_in_force(
        self, loaded: models.VersionedConfiguration, source: str
    ) -> None:
        if (loaded.version, loaded.digest) <= self.order_key:
            raise ConfigurationRevertedError(
                f"{loaded.version} would replace {self.version}"
            )
        for listener in self._listeners:
            listener(loaded)
        self._current = loaded
        events.info(
            events.ConfigurationAccepted(
                version=loaded.version, digest=loaded.digest, source=source
            )
        )

    def _reject(
        self,
        version: int,
        digest: str,
        source: str,
        group: exceptions.TextFaultsError,
    ) -> None:
        faults = tuple(str(fault) for fault in group.exceptions)
        self.last_rejected = RejectedText(
            version=version, digest=digest, faults=faults
        )
        events.warning(
            events.ConfigurationRejected(
                version=version, source=source, faults=faults
            )
        )

    def _note_fork(self, version: int, digest: str, source: str) -> None:
        current = self._current
        if current is None or current.version != version:
            return
        if current.digest != digest:
            events.warning(
                events.ConfigurationForked(
                    version=version,
                    kept_digest=max(current.digest, digest),
                    other_digest=min(current.digest, digest),
                    source=source,
                )
            )
