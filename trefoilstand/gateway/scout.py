"""Ask targets for their load right before a request is sent.

A target's load shifts within milliseconds, so only what it says at the
moment of the choice is worth much.  The request then goes out on the very
connection that has just answered, which shows that the connection works
and that the expected process is at its other end.
"""

import asyncio
import collections.abc
import dataclasses
import random
import time
import typing

from trefoilstand.gateway import const
from trefoilstand.gateway import dialect as dialects
from trefoilstand.gateway import models
from trefoilstand.gateway import pool
from trefoilstand.gateway import prediction
from trefoilstand.gateway import targets
from trefoilstand.http import errors
from trefoilstand.http import link
from trefoilstand.http import models as http_models
from trefoilstand.http import wire
from trefoilstand.util import token_bucket

_OK: typing.Final = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """Pair the chosen target with a connection to it.

    :param target: where the request goes.
    :param link: connection that nobody else uses.
    :param predicted_s: expected time until the answer.
    :param slowdown: what the target said of its pace, 1 where unknown.
    :param report_age_s: age of its report, None without one.
    """

    target: targets.Target
    link: link.Link
    predicted_s: float
    slowdown: float
    report_age_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Probed:
    """Hold the result of one probe."""

    target: targets.Target
    link: link.Link
    is_well: bool


class Scout:
    """Find the target that would finish a request first.

    :param table: registered targets.
    :param links: connections to them.
    :param dialect: names on the wire.
    :param estimator: working times of the routes.
    :param budget: probes that this host may send.
    :param random_source: breaks ties.
    :param own_domain: failure domain of this host.
    """

    def __init__(
        self,
        *,
        table: targets.TargetTable,
        links: pool.LinkPool,
        dialect: dialects.Dialect,
        estimator: prediction.WorkEstimator,
        budget: token_bucket.TokenBucket,
        random_source: random.Random,
        own_domain: str,
    ) -> None:
        self._table = table
        self._links = links
        self._dialect = dialect
        self._estimator = estimator
        self._budget = budget
        self._random = random_source
        self._own_domain = own_domain
        self._running: set[asyncio.Task[_Probed | None]] = set()
        self.health_paths: dict[str, str] = {}
        self.probes = 0
        self.failed_probes = 0

    async def find(
        self,
        *,
        service: str,
        route: models.Route,
        excluded: collections.abc.Set[str],
        latest_s: float,
    ) -> Placement | models.Refusal:
        """Return the best target with a connection, or why there is none.

        :param service: service that is to run the request.
        :param route: route of the request.
        :param excluded: targets that the request was already sent to.
        :param latest_s: monotonic time by which the answer is due.
        """
        order = self._order(service, route, excluded)
        if not order:
            return models.Refusal.NO_TARGET
        work_s = self._estimator.estimate_s(route)
        answered: list[_Probed] = []
        try:
            await self._search(order, answered, route, latest_s)
        except asyncio.CancelledError:
            self._give_back(answered)
            raise
        return self._choose(answered, route, work_s, latest_s)

    async def _search(
        self,
        order: list[targets.Target],
        answered: list[_Probed],
        route: models.Route,
        latest_s: float,
    ) -> None:
        """Ask round after round until a good target has answered."""
        work_s = self._estimator.estimate_s(route)
        asked = 0
        size = const.FIRST_ROUND_PROBES
        while asked < min(len(order), const.MAX_PROBES):
            group = order[asked : asked + size]
            asked += len(group)
            size = const.LATER_ROUND_PROBES
            await self._ask(group, answered, work_s)
            now_s = time.monotonic()
            if self._is_satisfying(answered, route, work_s, now_s):
                return
            if now_s + work_s >= latest_s:
                return

    def _order(
        self,
        service: str,
        route: models.Route,
        excluded: collections.abc.Set[str],
    ) -> list[targets.Target]:
        """Return the targets in the order in which they are asked."""
        now_s = time.monotonic()
        known = [
            target
            for target in self._table.of_service(service)
            if target.target_id not in excluded
        ]
        open_targets = [
            target for target in known if target.ejected_until_s <= now_s
        ]
        if len(open_targets) < len(known) * (1 - const.MAX_EJECTED_SHARE):
            open_targets = known
        work_s = self._estimator.estimate_s(route)
        jitter = {
            target.target_id: self._random.random() for target in open_targets
        }

        def rank(target: targets.Target) -> tuple[int, float]:
            is_far = target.record.failure_domain != self._own_domain
            predicted = prediction.predict_s(target, work_s, now_s)
            is_bad = predicted > route.objective_s
            is_failing = target.current_error_rate(now_s) > 0.3
            return (
                2 * (is_bad or is_failing) + is_far,
                jitter[target.target_id],
            )

        return sorted(open_targets, key=rank)

    async def _ask(
        self,
        group: list[targets.Target],
        answered: list[_Probed],
        work_s: float,
    ) -> None:
        """Probe some targets and collect those that answer in time."""
        pending = set()
        for target in group:
            task = asyncio.get_running_loop().create_task(self._probe(target))
            self._running.add(task)
            pending.add(task)
        until_s = time.monotonic() + const.ROUND_TIMEOUT_S
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(until_s - time.monotonic(), 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                for task in done:
                    self._running.discard(task)
                    probed = task.result()
                    if probed is not None:
                        answered.append(probed)
                if self._is_ideal(answered, work_s):
                    break
        finally:
            for task in pending:
                task.add_done_callback(self._take_late)

    def _take_late(self, task: asyncio.Task[_Probed | None]) -> None:
        """Return the connection of a probe that nobody waited for."""
        self._running.discard(task)
        if task.cancelled():
            return
        probed = task.result()
        if probed is not None:
            self._links.release(probed.target, probed.link)

    async def _probe(self, target: targets.Target) -> _Probed | None:
        """Ask one target; None where it gave no usable answer."""
        self.probes += 1
        path = self.health_paths.get(target.record.service, "/health")
        address = f"{target.record.ip}:{target.record.port}"
        data = wire.encode_request(
            method=b"GET",
            target=path.encode(),
            fields=[(b"host", address.encode())],
        )
        used: link.Link | None = None
        try:
            async with asyncio.timeout(const.PROBE_TIMEOUT_S):
                used = await self._links.acquire(target)
                response = await used.send(data, matches=self._is_health)
        except (TimeoutError, errors.LinkError):
            if used is not None:
                used.abort()
            self.failed_probes += 1
            target.record_failure(time.monotonic())
            return None
        except asyncio.CancelledError:
            if used is not None:
                used.abort()
            raise
        now_s = time.monotonic()
        report = self._dialect.read_load(response, now_s)
        if report is not None:
            target.report = report
        identity = self._dialect.read_target_id(response)
        if identity is not None and identity != target.target_id:
            # The address belongs to another process by now.
            used.close()
            target.record_failure(now_s)
            return None
        if not used.is_reusable:
            # The target closes after its answer, as leaving ones do.
            return await self._reopen(target, response.status == _OK)
        return _Probed(
            target=target, link=used, is_well=response.status == _OK
        )

    async def _reopen(
        self, target: targets.Target, is_well: bool
    ) -> _Probed | None:
        try:
            return _Probed(
                target=target,
                link=await self._links.acquire(target),
                is_well=is_well,
            )
        except errors.LinkError:
            return None

    def _is_health(self, response: http_models.Response) -> bool:
        """Return whether an answer is not a late one to a request."""
        return response.find(self._dialect.names.request_id) is None

    def _is_ideal(self, answered: list[_Probed], work_s: float) -> bool:
        """Return whether waiting for more answers cannot pay."""
        now_s = time.monotonic()
        for probed in answered:
            if not probed.is_well:
                continue
            if probed.target.record.failure_domain != self._own_domain:
                continue
            predicted = prediction.predict_s(probed.target, work_s, now_s)
            if predicted <= work_s * const.EQUAL_PREDICTION:
                return True
        return False

    def _is_satisfying(
        self,
        answered: list[_Probed],
        route: models.Route,
        work_s: float,
        now_s: float,
    ) -> bool:
        """Return whether asking further targets is not needed."""
        limit_s = max(
            route.objective_s * const.SATISFYING_SHARE,
            work_s * const.TYPICAL_SLOWDOWN,
        )
        return any(
            probed.is_well
            and prediction.predict_s(probed.target, work_s, now_s) <= limit_s
            for probed in answered
        )

    def _choose(
        self,
        answered: list[_Probed],
        route: models.Route,
        work_s: float,
        latest_s: float,
    ) -> Placement | models.Refusal:
        """Keep the best connection and give the others back."""
        now_s = time.monotonic()
        if not answered:
            return models.Refusal.NO_TARGET
        scores = [
            (
                not probed.is_well,
                prediction.score_s(
                    target=probed.target,
                    route=route,
                    work_s=work_s,
                    own_domain=self._own_domain,
                    now_s=now_s,
                ),
            )
            for probed in answered
        ]
        best = min(range(len(answered)), key=scores.__getitem__)
        chosen = answered[best]
        predicted = prediction.predict_s(chosen.target, work_s, now_s)
        if now_s + predicted >= latest_s:
            self._give_back(answered)
            return models.Refusal.OVERLOADED
        self._give_back(answered[:best] + answered[best + 1 :])
        report = chosen.target.report
        return Placement(
            target=chosen.target,
            link=chosen.link,
            predicted_s=predicted,
            slowdown=report.slowdown if report else 1.0,
            report_age_s=now_s - report.observed_s if report else None,
        )

    def _give_back(self, answered: list[_Probed]) -> None:
        for probed in answered:
            self._links.release(probed.target, probed.link)
