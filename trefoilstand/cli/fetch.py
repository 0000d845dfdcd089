"""Read documents of entry hosts, of several at the same time."""

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
class Fetched:
    """Hold what one entry host answered.

    :param address: address that was asked.
    :param document: its document, None where it did not answer.
    :param detail: why there is none, empty otherwise.
    """

    address: str
    document: Document | None
    detail: str = ""


def fetch(address: str, path: str) -> Fetched:
    """Read one document of one entry host."""
    fetcher = http.HttpFetcher(max_body_bytes=const.MAX_DOCUMENT_BYTES)
    try:
        answer = fetcher.get(
            f"http://{address}{path}", timeout_s=const.FETCH_TIMEOUT_S
        )
        document = json.loads(answer.body)
    except (http.HttpFetchError, ValueError) as error:
        return Fetched(address=address, document=None, detail=str(error))
    finally:
        fetcher.close()
    if answer.status != 200:
        return Fetched(
            address=address,
            document=None,
            detail=f"status {answer.status}",
        )
    return Fetched(address=address, document=document)


def fetch_all(
    addresses: collections.abc.Sequence[str], path: str
) -> list[Fetched]:
    """Read the same document of several entry hosts."""
    show_progress = sys.stderr.isatty() and len(addresses) > 1
    results = []
    with concurrent.futures.ThreadPoolExecutor(_MAX_THREADS) as executor:
        futures = [
            executor.submit(fetch, address, path) for address in addresses
        ]
        for done, _ in enumerate(
            concurrent.futures.as_completed(futures), start=1
        ):
            if show_progress:
                print(
                    f"\rasked {done} of {len(addresses)}",
                    end="",
                    file=sys.stderr,
                )
        results = [future.result() for future in futures]
    if show_progress:
        print(file=sys.stderr)
    return results
