"""Exit codes, timeouts and size limits of the command-line tool."""

import typing

EXIT_FAULTS_FOUND: typing.Final = 1
EXIT_NOT_ANSWERED: typing.Final = 4
EXIT_UNREACHABLE: typing.Final = 3
FETCH_TIMEOUT_S: typing.Final = 2.0
MAX_DOCUMENT_BYTES: typing.Final = 16 * 1024 * 1024
