"""Schema of a configuration document of the platform.

The decoder stops at the first malformed value.  The schema reports all of
them with their locations, and values that the decoder replaces silently.
"""

import dataclasses
import math
import typing

import pydantic

from trefoilstand.gateway import configuration_checks as checks
from trefoilstand.platform import decoder
from trefoilstand.platform import values

_SCHEMA: typing.Final = pydantic.ConfigDict(
    extra="forbid", alias_generator=lambda name: name.replace("_", "-")
)


def _check_version(value: typing.Any) -> typing.Any:
    if values.parse_version(value) < 0:
        raise ValueError(f"{value!r} is not a version of the form r<number>")
    return value


def _check_time_limit(value: typing.Any) -> typing.Any:
    if not 0 < values.parse_seconds(value) < math.inf:
        raise ValueError("the time must be finite and above 0")
    return value


def _check_optional_time_limit(value: typing.Any) -> typing.Any:
    # The decoder uses the default for empty values, too.
    return value if value in (None, "") else _check_time_limit(value)


def _check_warmup(value: typing.Any) -> typing.Any:
    if values.parse_seconds(value) > decoder.WARMUP_LIMIT_S:
        raise ValueError(f"must not exceed {decoder.WARMUP_LIMIT_S:g} s")
    return value


_Version = typing.Annotated[
    typing.Any, pydantic.AfterValidator(_check_version)
]
_TimeLimit = typing.Annotated[
    typing.Any, pydantic.AfterValidator(_check_time_limit)
]
_OptionalTimeLimit = typing.Annotated[
    typing.Any, pydantic.AfterValidator(_check_optional_time_limit)
]
_Warmup = typing.Annotated[typing.Any, pydantic.AfterValidator(_check_warmup)]
_Name = typing.Annotated[pydantic.StrictStr, pydantic.Field(min_length=1)]
#: Shares of counts are computed as floats, which larger integers can overflow.
_Count = typing.Annotated[pydantic.StrictInt, pydantic.Field(ge=1, le=2**53)]
_Rank = typing.Annotated[pydantic.StrictInt, pydantic.Field(ge=0)]
_Amount = typing.Annotated[
    pydantic.StrictFloat, pydantic.Field(ge=0, allow_inf_nan=False)
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Part:
    """Part of a traffic split."""

    __pydantic_config__ = _SCHEMA

    service: _Name
    weight: _Amount


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Route:
    """Entry of `routes`."""

    __pydantic_config__ = _SCHEMA

    host: _Name
    prefix: _Name
    route_type: typing.Literal["safe", "unsafe", "download"]
    timeout: _TimeLimit
    target_latency: _OptionalTimeLimit = None
    priority: _Rank = 0
    traffic_split: list[_Part] | None = None
    service: _Name | None = None
    max_attempts: _Count = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Service:
    """Entry of `services`."""

    __pydantic_config__ = _SCHEMA

    health_path: typing.Annotated[
        pydantic.StrictStr, pydantic.Field(pattern="^/")
    ] = "/health"
    max_conns: _Count | None = None
    protocol: pydantic.StrictStr | None = None
    tls: pydantic.StrictBool | None = None
    warmup: _Warmup = "0s"
    warmup_per_s: _Amount | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Limits:
    """Content of `limits`."""

    __pydantic_config__ = _SCHEMA

    max_header_bytes: _Count = 1
    max_body_bytes: _Count = 1
    header_timeout: _OptionalTimeLimit = None
    idle_timeout: _OptionalTimeLimit = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Document:
    """Whole document."""

    __pydantic_config__ = _SCHEMA

    version: _Version
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits | None = None


_ADAPTER: typing.Final = pydantic.TypeAdapter(_Document)


def find_mistakes(raw: typing.Any) -> checks.Findings:
    """Yield all mistakes that concern single values of a document.

    :param raw: decoded JSON value.
    """
    try:
        _ADAPTER.validate_python(raw)
    except pydantic.ValidationError as group:
        for error in group.errors():
            if error["type"] == "unexpected_keyword_argument":
                yield checks.warning(error["loc"], "unknown entry, ignored")
            elif error["type"] == "dataclass_type":
                yield checks.error(error["loc"], "must be an object")
            else:
                yield checks.error(
                    error["loc"], error["msg"].removeprefix("Value error, ")
                )
    routes = raw.get("routes") if isinstance(raw, dict) else None
    for name, route in routes.items() if isinstance(routes, dict) else ():
        if not isinstance(route, dict):
            continue
        path = ("routes", name, "service")
        has_service = route.get("service") is not None
        if route.get("traffic-split") and has_service:
            yield checks.warning(path, "ignored beside a traffic-split")
        elif not route.get("traffic-split") and not has_service:
            yield checks.error(path, "neither service nor traffic-split")
