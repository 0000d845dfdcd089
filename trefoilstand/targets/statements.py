"""Read what targets say of themselves in answers and reports."""

import typing

import pydantic

from trefoilstand import const as project_const
from trefoilstand.decision import models as decision_models
from trefoilstand.targets import models

_LEAVING_STATE: typing.Final = "leaving"
_MAX_COUNT: typing.Final = 1_000_000


class _Report(pydantic.BaseModel):
    """Schema of a load report."""

    in_flight: int = pydantic.Field(ge=0, le=_MAX_COUNT)
    slots: int = pydantic.Field(ge=1, le=_MAX_COUNT)
    state: str = ""
    incarnation: str = pydantic.Field(default="", max_length=64)


def read_answer(
    target_answer: models.TargetAnswer, now_s: float
) -> models.TargetStatement:
    """Return what the header of an answer says of its target.

    The load stands as `in_flight/slots`; other forms are passed over.
    """
    load = target_answer.header(project_const.HEADER_TARGET_LOAD)
    in_flight, _, slots = load.partition("/")
    report = None
    if in_flight.isdecimal() and slots.isdecimal():
        report = decision_models.LoadReport(
            in_flight=min(int(in_flight), _MAX_COUNT),
            slots=min(max(int(slots), 1), _MAX_COUNT),
            observed_s=now_s,
        )
    state = target_answer.header(project_const.HEADER_TARGET_STATE)
    return models.TargetStatement(
        incarnation=target_answer.header(
            project_const.HEADER_TARGET_INCARNATION
        )[:64],
        is_leaving=state == _LEAVING_STATE,
        report=report,
    )


def read_report(body: bytes, now_s: float) -> models.TargetStatement | None:
    """Return what a load report says, None where it is malformed."""
    try:
        content = _Report.model_validate_json(body)
    except pydantic.ValidationError:
        return None
    return models.TargetStatement(
        incarnation=content.incarnation,
        is_leaving=content.state == _LEAVING_STATE,
        report=decision_models.LoadReport(
            in_flight=content.in_flight,
            slots=content.slots,
            observed_s=now_s,
        ),
    )
