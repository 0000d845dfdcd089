"""Client that reads and watches the platform's documents."""

import pydantic

from trefoilstand import exceptions
from trefoilstand.helpers import http
from trefoilstand.publishing import const
from trefoilstand.publishing import models
from trefoilstand.telemetry import metrics

_HOST_LIST_ADAPTER = pydantic.TypeAdapter(models.HostList)


class PlatformAnswerError(exceptions.TrefoilstandError):
    """Represent a response of the platform that is not valid."""


class PlatformClient:
    """Read and watch the platform's documents.

    One instance belongs to one thread.

    :param address: IP address and port of the platform's services.
    :param process_metrics: metrics in which each call is counted.
    """

    def __init__(
        self, *, address: str, process_metrics: metrics.Metrics
    ) -> None:
        self._url = f"http://{address}"
        self._metrics = process_metrics
        self._fetcher = http.HttpFetcher(max_body_bytes=const.MAX_VALUE_BYTES)

    def read_text(self) -> models.PublishedText | None:
        """Return the operators' text, None if none is published.

        :raises http.HttpFetchError: no complete response came in time.
        :raises PlatformAnswerError: the response is not valid.
        """
        return self._fetch_text("", const.READ_TIMEOUT_S)

    def watch_text(
        self, known_version: int, wait_s: float
    ) -> models.PublishedText | None:
        """Wait for a version of the operators' text other than a known one.

        :param known_version: version that the caller already has.
        :param wait_s: how long in seconds the service may hold the call.
        :returns: the other version, None if there was none in time.
        :raises http.HttpFetchError: no complete response came in time.
        :raises PlatformAnswerError: the response is not valid.
        """
        query = f"?known_version={known_version}&wait_s={wait_s:g}"
        return self._fetch_text(query, wait_s + const.WATCH_TIMEOUT_MARGIN_S)

    def read_hosts(self) -> models.HostList:
        """Return the list of live and leaving hosts.

        :raises http.HttpFetchError: no complete response came in time.
        :raises PlatformAnswerError: the response is not valid.
        """
        self._metrics.record_platform_call(const.DOCUMENT_HOSTS)
        response = self._fetcher.get(
            self._url + const.HOSTS_PATH, timeout_s=const.READ_TIMEOUT_S
        )
        if response.status != const.STATUS_OK:
            raise PlatformAnswerError(
                f"host list: status {response.status},"
                f" expected {const.STATUS_OK}"
            )
        try:
            return _HOST_LIST_ADAPTER.validate_json(response.body)
        except pydantic.ValidationError as error:
            raise PlatformAnswerError(
                f"host list is malformed: {error}"
            ) from error

    def _fetch_text(
        self, query: str, timeout_s: float
    ) -> models.PublishedText | None:
        self._metrics.record_platform_call(const.DOCUMENT_CONFIGURATION)
        response = self._fetcher.get(
            self._url + const.CONFIGURATION_PATH + query,
            timeout_s=timeout_s,
        )
        if response.status == const.STATUS_NOT_MODIFIED:
            return None
        if response.status != const.STATUS_OK:
            raise PlatformAnswerError(
                f"operators' text: status {response.status},"
                f" expected {const.STATUS_OK}"
            )
        version = response.headers.get(const.HEADER_VERSION.lower(), "")
        if not (version.isascii() and version.isdecimal()):
            raise PlatformAnswerError(
                f"operators' text: {const.HEADER_VERSION} is {version!r},"
                " expected a decimal number"
            )
        if "content-length" not in response.headers:
            raise PlatformAnswerError(
                "operators' text: response has no Content-Length"
            )
        try:
            text = response.body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise PlatformAnswerError(
                "operators' text: body is not UTF-8"
            ) from error
        return models.PublishedText(version=int(version), text=text)
