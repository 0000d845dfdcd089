"""Hold the configuration in force and notify listeners of changes."""

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
    """An older configuration would have replaced a newer one."""


class OfferResult(enum.StrEnum):
    """Result of offering a configuration text."""

    ACCEPTED = "accepted"
    NOT_NEWER = "not_newer"
    REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RejectedText:
    """Describe the last text that failed validation."""

    version: int
    digest: str
    faults: tuple[str, ...]


class ConfigurationCoordinator:
    """Accept newer configurations and pass them to listeners.

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
        """Return version and digest; the greater pair takes precedence."""
        current = self._current
        return (current.version, current.digest) if current else (0, "")

    def add_listener(self, listener: Listener) -> None:
        """Register a function called with each accepted configuration."""
        self._listeners.append(listener)

    def offer(self, *, version: int, text: str, source: str) -> OfferResult:
        """Put a text in force if it is newer and valid.

        :param version: version given by the configuration service.
        :param text: configuration text in TOML.
        :param source: where the text came from, for logs and faults.
        """
        digest = hashlib.sha256(text.encode()).hexdigest()
        with self._lock:
            if (version, digest) <= self.order_key:
                self._warn_if_forked(version, digest, source)
                return OfferResult.NOT_NEWER
            rejected = self.last_rejected
            if rejected and (version, digest) == (
                rejected.version,
                rejected.digest,
            ):
                return OfferResult.REJECTED
            try:
                loaded = loader.load_versioned(
                    source_name=source, text=text, version=version
                )
            except exceptions.TextFaultsError as group:
                self._reject(version, digest, source, group)
                return OfferResult.REJECTED
            self._warn_if_forked(version, digest, source)
            self._put_in_force(loaded, source)
            return OfferResult.ACCEPTED

    def _put_in_force(
        self, loaded: models.VersionedConfiguration, source: str
    ) -> None:
        if (loaded.version, loaded.digest) <= self.order_key:
            raise ConfigurationRevertedError(
                f"configuration version {loaded.version} would replace "
                f"version {self.version} in force"
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

    def _warn_if_forked(self, version: int, digest: str, source: str) -> None:
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
