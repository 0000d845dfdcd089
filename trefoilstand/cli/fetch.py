"""Fetch JSON documents from entry hosts, from several in parallel."""

import collections.abc
import concurrent.futures
import dataclasses
import json
import sys
import typing

from trefoilstand.cli import const
from trefoilstand.helpers import http

_MAX_THREADS: typing.Final = 16

Document = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FetchResult:
    """Hold the document or the failure of one entry host.

    :param address: caller address of the entry host.
    :param document: decoded document, None if it was not received.
    :param detail: why there is no document, empty if there is one.
    """

    address: str
    document: Document | None
    detail: str = ""


def fetch(address: str, path: str) -> FetchResult:
    """Fetch one document from one entry host.

    :param address: caller address of the entry host.
    :param path: path of the document, with its query.
    :returns: the document, or the reason why it was not received.
    """
    fetcher = http.HttpFetcher(max_body_bytes=const.MAX_DOCUMENT_BYTES)
    try:
        response = fetcher.get(
            f"http://{address}{path}", timeout_s=const.FETCH_TIMEOUT_S
        )
        document = json.loads(response.body)
    except (http.HttpFetchError, ValueError) as error:
        return FetchResult(address=address, document=None, detail=str(error))
    finally:
        fetcher.close()
    if response.status != 200:
        return FetchResult(
            address=address,
            document=None,
            detail=f"status {response.status}, expected 200",
        )
    return FetchResult(address=address, document=document)


def fetch_all(
    addresses: collections.abc.Sequence[str], path: str
) -> list[FetchResult]:
    """Fetch the same document from several entry hosts in parallel.

    A progress line goes to standard error if that is a terminal.

    :param addresses: caller addresses of the entry hosts.
    :param path: path of the document, with its query.
    :returns: one result for each address, in the order of addresses.
    """
    show_progress = sys.stderr.isatty() and len(addresses) > 1
    results = []
    with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as executor:
        futures = [
            executor.submit(fetch, address, path) for address in addresses
        ]
        for completed, _ in enumerate(
            concurrent.futures.as_completed(futures), start=1
        ):
            if show_progress:
                print(
                    f"\r{completed} of {len(addresses)} hosts finished",
                    end="",
                    file=sys.stderr,
                )
        results = [future.result() for future in futures]
    if show_progress:
        print(file=sys.stderr)
    return results
