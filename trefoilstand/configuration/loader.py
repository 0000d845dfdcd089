"""Parse and validate the operators' configuration."""

import hashlib
import typing

import pydantic

from trefoilstand import exceptions
from trefoilstand.configuration import checks
from trefoilstand.configuration import const
from trefoilstand.configuration import models
from trefoilstand.helpers import toml_text

_ADAPTER: typing.Final = pydantic.TypeAdapter(models.Configuration)


def parse_configuration(
    *, source_name: str, text: str
) -> models.Configuration:
    """Parse a configuration text and run all checks.

    :param source_name: file name or address shown in faults.
    :param text: TOML text.
    :raises exceptions.TextFaultsError: the text is invalid; holds all faults.
    """
    parsed = toml_text.TomlText(source_name=source_name, text=text)
    size_bytes = len(text.encode())
    if size_bytes > const.MAX_CONFIGURATION_BYTES:
        fault = checks.TextTooLargeError(
            location=parsed.location(()),
            expected=(
                f"at most {const.MAX_CONFIGURATION_BYTES} bytes, "
                f"found {size_bytes}"
            ),
        )
        raise exceptions.TextFaultsError(
            f"{source_name} is too large", [fault]
        )
    configuration = parsed.validate(_ADAPTER)
    faults = checks.find_faults(configuration, parsed)
    if faults:
        raise exceptions.TextFaultsError(
            f"{len(faults)} faults in {source_name}", faults
        )
    return configuration


def load_versioned(
    *, source_name: str, text: str, version: int
) -> models.VersionedConfiguration:
    """Parse and check a text and attach its version.

    :param source_name: file name or address shown in faults.
    :param text: TOML text.
    :param version: version given by the configuration service.
    :raises exceptions.TextFaultsError: the text is invalid; holds all faults.
    """
    return models.VersionedConfiguration(
        version=version,
        digest=hashlib.sha256(text.encode()).hexdigest(),
        text=text,
        content=parse_configuration(source_name=source_name, text=text),
    )
