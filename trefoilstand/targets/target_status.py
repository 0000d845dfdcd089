"""Parse the status that targets report in responses and load reports."""

import typing

import pydantic

from trefoilstand import const as project_const
from trefoilstand.decision import models as decision_models
from trefoilstand.targets import models

_LEAVING_STATE: typing.Final = "leaving"
_MAX_COUNT: typing.Final = 1_000_000


class _LoadReport(pydantic.BaseModel):
    """Schema of the load report in the body of a probe response."""

    in_flight: int = pydantic.Field(ge=0, le=_MAX_COUNT)
    slots: int = pydantic.Field(ge=1, le=_MAX_COUNT)
    state: str = ""
    incarnation: str = pydantic.Field(default="", max_length=64)


def parse_response(
    target_response: models.TargetResponse, now_s: float
) -> models.TargetStatus:
    """Return the target status in the header of a response.

    The load has the form `in_flight/slots`; other forms are ignored.

    :param target_response: response of the target.
    :param now_s: monotonic time when it arrived, in seconds.
    """
    load_field = target_response.header(project_const.HEADER_TARGET_LOAD)
    in_flight, _, slots = load_field.partition("/")
    report = None
    if in_flight.isdecimal() and slots.isdecimal():
        report = decision_models.LoadReport(
            in_flight=min(int(in_flight), _MAX_COUNT),
            slots=min(max(int(slots), 1), _MAX_COUNT),
            observed_s=now_s,
        )
    state_field = target_response.header(project_const.HEADER_TARGET_STATE)
    return models.TargetStatus(
        incarnation=target_response.header(
            project_const.HEADER_TARGET_INCARNATION
        )[:64],
        is_leaving=state_field == _LEAVING_STATE,
        report=report,
    )


def parse_report(body: bytes, now_s: float) -> models.TargetStatus | None:
    """Return the target status in a load report, None if it is malformed.

    :param body: body of the probe response.
    :param now_s: monotonic time when it arrived, in seconds.
    """
    try:
        load_report = _LoadReport.model_validate_json(body)
    except pydantic.ValidationError:
        return None
    return models.TargetStatus(
        incarnation=load_report.incarnation,
        is_leaving=load_report.state == _LEAVING_STATE,
        report=decision_models.LoadReport(
            in_flight=load_report.in_flight,
            slots=load_report.slots,
            observed_s=now_s,
        ),
    )
