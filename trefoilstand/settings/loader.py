"""Load process settings from a TOML file."""

import pathlib
import typing

import pydantic

from trefoilstand.helpers import toml_text
from trefoilstand.settings import models

_ADAPTER: typing.Final = pydantic.TypeAdapter(models.Settings)


def parse_settings(*, source_name: str, text: str) -> models.Settings:
    """Parse and validate a settings text.

    :param source_name: file name shown in faults.
    :param text: TOML text.
    :raises trefoilstand.exceptions.TextFaultsError: invalid settings.
    """
    parsed = toml_text.TomlText(source_name=source_name, text=text)
    return parsed.validate(_ADAPTER)


def load_settings(path: pathlib.Path) -> models.Settings:
    """Read and validate a settings file.

    :param path: TOML file.
    :raises OSError: the file cannot be read.
    :raises trefoilstand.exceptions.TextFaultsError: invalid settings.
    """
    return parse_settings(
        source_name=str(path), text=path.read_text(encoding="utf-8")
    )
