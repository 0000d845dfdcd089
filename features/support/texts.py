"""Operators' texts of one service for tests of the core."""

from trefoilstand.standins import texts


def address_of(number):
    return f"127.9.0.{number + 1}:9000"


def make_text(targets, leaving=0):
    return texts.make_text(
        service="quotes",
        addresses=[address_of(number) for number in range(targets)],
        slots=6,
        leaving=leaving,
    )
