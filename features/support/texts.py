"""Operators' texts of one service for tests without a fleet."""

from trefoilstand.standins import texts


def target_address(number):
    return f"127.9.0.{number + 1}:9000"


def make_text(target_count, leaving_count=0):
    return texts.make_text(
        service="quotes",
        addresses=[target_address(number) for number in range(target_count)],
        slots=6,
        leaving=leaving_count,
    )
