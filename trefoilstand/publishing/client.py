"""Read and watch the platform's services."""

import pydantic

from trefoilstand import exceptions
from trefoilstand.helpers import http
from trefoilstand.publishing import const
from trefoilstand.publishing import models
from trefoilstand.telemetry import metrics

_HOSTS_ADAPTER = pydantic.TypeAdapter(models.HostList)


class PlatformAnswerError(exceptions.TrefoilstandError):
    """Represent an answer of the platform that makes no sense."""


class PlatformClient:
    """Read the platform's documents; one instance belongs to one thread.

    :param address: address of the platform's services.
    :param process_metrics: where each call is counted.
    """

    def __init__(
        self, *, address: str, process_metrics: metrics.Metrics
    ) -> None:
        self._url = f"http://{address}"
        self._metrics = process_metrics
        self._fetcher = http.HttpFetcher(max_body_bytes=const.MAX_VALUE_BYTES)

    def read_text(self) -> models.PublishedText | None:
        """Read the operators' text, None where none is published.

        :raises http.HttpFetchError: no whole answer came in time.
        :raises PlatformAnswerError: the answer makes no sense.
        """
        return self._get_text("", const.READ_TIMEOUT_S)

    def watch_text(
        self, known_version: int, wait_s: float
    ) -> models.PublishedText | None:
        """Wait for another version than a known one.

        :param known_version: version that the caller has.
        :param wait_s: how long the service may hold the call.
        :returns: the other version, None where there is none in time.
        :raises http.HttpFetchError: no whole answer came in time.
        :raises PlatformAnswerError: the answer makes no sense.
        """
        query = f"?known_version={known_version}&wait_s={wait_s:g}"
        return self._get_text(query, wait_s + const.WATCH_SLACK_S)

    def read_hosts(self) -> models.HostList:
        """Read the list of live and leaving hosts.

        :raises http.HttpFetchError: no whole answer came in time.
        :raises PlatformAnswerError: the answer makes no sense.
        """
        self._metrics.record_platform_call(const.DOCUMENT_HOSTS)
        found = self._fetcher.get(
            self._url + const.HOSTS_PATH, timeout_s=const.READ_TIMEOUT_S
        )
        if found.status != const.STATUS_OK:
            raise PlatformAnswerError(f"hosts: status {found.status}")
        try:
            return _HOSTS_ADAPTER.validate_json(found.body)
        except pydantic.ValidationError as error:
            raise PlatformAnswerError(f"hosts: {error}") from error

    def _get_text(
        self, query: str, timeout_s: float
    ) -> models.PublishedText | None:
        self._metrics.record_platform_call(const.DOCUMENT_CONFIGURATION)
        found = self._fetcher.get(
            self._url + const.CONFIGURATION_PATH + query,
            timeout_s=timeout_s,
        )
        if found.status == const.STATUS_NOT_MODIFIED:
            return None
        if found.status != const.STATUS_OK:
            raise PlatformAnswerError(f"text: status {found.status}")
        version = found.headers.get(const.HEADER_VERSION.lower(), "")
        if not (version.isascii() and version.isdecimal()):
            raise PlatformAnswerError(f"text: version {version!r}")
        if "content-length" not in found.headers:
            raise PlatformAnswerError("text: its length is not stated")
        try:
            text = found.body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise PlatformAnswerError("text: not UTF-8") from error
        return models.PublishedText(version=int(version), text=text)
