"""Command-line arguments shared by several commands."""

import typing

import cappa

HostAddress = typing.Annotated[
    str, cappa.Arg(help="Caller address of an entry host.")
]
HostAddresses = typing.Annotated[
    list[str],
    cappa.Arg(num_args=-1, help="Caller addresses of entry hosts."),
]
JsonFlag = typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")]
ServiceName = typing.Annotated[str, cappa.Arg(help="Name of the service.")]
