"""Common handling of requests: authentication, admission, errors and records."""

__all__ = [
    "Admission",
    "Caller",
    "Handler",
    "admit",
    "make_handler",
    "identify",
    "request_facts",
]

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from wigeonscale.adapters import log_fields
from wigeonscale.crashes import request_fingerprint
from wigeonscale.dispatch import Work
from wigeonscale.entry.auth import authenticate
from wigeonscale.entry.error_responses import error_response
from wigeonscale.entry.records import RequestLog, record
from wigeonscale.entry.requests import RequestOptions, read_options, request_digest
from wigeonscale.entry.service import EntryService
from wigeonscale.errors import ErrorKind, RunState, WigeonscaleError
from wigeonscale.rules import Action, Decision, Organisation, RequestFacts

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Caller:
    """The sender of a request.

    Attributes:
        organisation: Owner of the API key.
        options: Options given in headers.
    """

    organisation: Organisation
    options: RequestOptions


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that has passed rules and limits.

    Attributes:
        caller: The sender.
        decision: Decision of the first matching rule.
        priority: Effective priority.
        deadline: Clock time at which the complete answer is due, in seconds.
        dispatch_ids: List to which the ids of the work's dispatches are appended.
    """

    caller: Caller
    decision: Decision
    priority: int
    deadline: float
    dispatch_ids: list[str]

    def work(self, *, req: web.Request, raw: bytes, **target: object) -> Work:
        """Return the work to dispatch.

        Args:
            req: The request.
            raw: Body of the request.
            **target: ``pipeline``, ``generate`` and ``part_keys``, or ``service`` and
                ``call``.
        """
        once = self.decision.once
        return Work(
            organisation=self.caller.organisation.name,
            once=once,
            key=self.caller.options.key,
            digest=request_digest(req.method, req.path_qs, raw) if once else b"",
            fingerprint=request_fingerprint(
                caller=self.caller.organisation.name,
                method=req.method,
                path=req.path_qs,
                body=raw,
            ),
            priority=self.priority,
            deadline=self.deadline,
            attempts=self.decision.attempts,
            dispatch_ids=self.dispatch_ids,
            **target,
        )


Handler = Callable[
    [EntryService, web.Request, RequestLog], Awaitable[web.StreamResponse]
]


def make_handler(
    entry: EntryService, handle: Handler
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Return an aiohttp handler that wraps the handler of one type of request.

    It counts the request, turns errors into responses and records the outcome.

    Args:
        entry: The entry.
        handle: The wrapped handler.
    """

    async def handler(req: web.Request) -> web.StreamResponse:
        log = RequestLog(started=entry.clock.now())
        entered = False
        try:
            entry.begin_request()
            entered = True
            return await handle(entry, req, log)
        except WigeonscaleError as exc:
            log.kind = exc.kind
            return error_response(exc, log.request_id)
        except (asyncio.CancelledError, ConnectionError):
            log.kind = ErrorKind.CANCELLED
            raise
        except Exception:
            log.kind = ErrorKind.INTERNAL
            logger.exception(
                "request failed", extra=log_fields(request_id=log.request_id)
            )
            return error_response(_internal_error(log), log.request_id)
        finally:
            if entered:
                entry.end_request()
            _finish(entry, log)

    return handler


def identify(entry: EntryService, req: web.Request, log: RequestLog) -> Caller:
    """Return the sender of a request and the options in its headers.

    Args:
        entry: The entry.
        req: The request.
        log: Record of the request; its organisation is set.

    Raises:
        WigeonscaleError: ``UNKNOWN_KEY`` or ``BAD_REQUEST``.
    """
    organisation = authenticate(req, entry.control.ruleset)
    log.organisation = organisation.name
    return Caller(organisation=organisation, options=read_options(req))


def request_facts(
    req: web.Request,
    caller: Caller,
    *,
    size: int,
    model: str = "",
    stream: bool = False,
) -> RequestFacts:
    """Return the properties of a request that rules can match.

    Args:
        req: The request.
        caller: The sender.
        size: Size of the prompt or body, in bytes.
        model: Model requested by the caller.
        stream: Whether a stream was requested.
    """
    return RequestFacts(
        organisation=caller.organisation.name,
        method=req.method,
        path=req.path,
        model=model,
        stream=stream,
        priority=caller.options.priority,
        prompt_bytes=size,
        headers={name.lower(): value for name, value in req.headers.items()},
    )


def admit(
    entry: EntryService, log: RequestLog, caller: Caller, facts: RequestFacts
) -> Admission:
    """Apply rules and limits to a request.

    Args:
        entry: The entry.
        log: Record of the request; its rule is set and the acquired permits are
            added, to be released at the end of the request.
        caller: The sender.
        facts: Properties of the request that rules can match.

    Raises:
        WigeonscaleError: If the request is refused.
    """
    decision = entry.control.ruleset.decide(facts)
    log.rule = decision.rule
    if decision.action is Action.REFUSE:
        raise WigeonscaleError(ErrorKind.REFUSED_BY_RULE, decision.reason)
    if decision.once and not caller.options.key:
        raise WigeonscaleError(
            ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
            f"rule {decision.rule} requires the header Idempotency-Key because its work"
            " must not be repeated",
        )
    _acquire_permits(entry, log, caller.organisation, decision)
    requested = caller.options.priority
    return Admission(
        caller=caller,
        decision=decision,
        priority=requested if decision.priority is None else decision.priority,
        deadline=log.started + _deadline_s(entry, caller.options, decision),
        dispatch_ids=log.dispatch_ids,
    )


def _acquire_permits(
    entry: EntryService, log: RequestLog, organisation: Organisation, decision: Decision
) -> None:
    limits = entry.organisation_limits
    permit = limits.acquire(
        organisation.name,
        concurrency=organisation.concurrency,
        rate=organisation.rate,
    )
    log.permits.append(permit)
    if decision.limit:
        scope = f"{organisation.name} under rule {decision.rule}"
        log.permits.append(limits.acquire(scope, concurrency=decision.limit))


def _deadline_s(
    entry: EntryService, options: RequestOptions, decision: Decision
) -> float:
    requested = options.deadline_s or entry.limits.default_deadline_s
    limits = [requested]
    if decision.deadline_s:
        limits.append(decision.deadline_s)
    service = entry.control.document.services.get(decision.service)
    if service is not None:
        limits.append(service.timeout_s)
    return min(limits)


def _internal_error(log: RequestLog) -> WigeonscaleError:
    state = RunState.UNKNOWN if log.request_id else RunState.NOT_RUN
    return WigeonscaleError(
        ErrorKind.INTERNAL, "internal error in the entry", run_state=state
    )


def _finish(entry: EntryService, log: RequestLog) -> None:
    for permit in log.permits:
        permit.release()
    record(log, entry.clock.now(), entry.recorder)
