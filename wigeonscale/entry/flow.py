"""The path of every request: count, admit, handle, answer errors, record."""

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
    """Who sends a request.

    Attributes:
        organisation: Holder of the API key.
        options: What is asked for in headers.
    """

    organisation: Organisation
    options: RequestOptions


@dataclass(frozen=True, slots=True)
class Admission:
    """A request that rules and limits let through.

    Attributes:
        caller: Who sends it.
        decision: What the first matching rule decided.
        priority: Priority to use.
        deadline: Instant of the clock port at which the whole answer is due.
        dispatch_ids: Takes the ids of the work's dispatches.
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
            raw: Its body.
            **target: Pipeline and generation, or service and call, of the work.
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
    """Return an aiohttp handler that counts, answers errors and records.

    Args:
        entry: The entry.
        handle: Does the work of one kind of request.
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
            return error_response(_internal(log), log.request_id)
        finally:
            if entered:
                entry.end_request()
            _finish(entry, log)

    return handler


def identify(entry: EntryService, req: web.Request, log: RequestLog) -> Caller:
    """Return who sends a request and what its headers ask for.

    Args:
        entry: The entry.
        req: The request.
        log: Takes the organisation.

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
    """Return what rules may look at.

    Args:
        req: The request.
        caller: Who sends it.
        size: Bytes of the prompt or body.
        model: Model named by the caller.
        stream: Whether a stream was asked for.
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
    """Let a request through rules and limits.

    Args:
        entry: The entry.
        log: Takes the rule, and the permits, which are given back at the end.
        caller: Who sends it.
        facts: What the rules look at.

    Raises:
        WigeonscaleError: Why it is refused.
    """
    decision = entry.control.ruleset.decide(facts)
    log.rule = decision.rule
    if decision.action is Action.REFUSE:
        raise WigeonscaleError(ErrorKind.REFUSED_BY_RULE, decision.reason)
    if decision.once and not caller.options.key:
        raise WigeonscaleError(
            ErrorKind.IDEMPOTENCY_KEY_REQUIRED,
            f"rule {decision.rule}: work that is not repeated needs the header"
            " Idempotency-Key",
        )
    _take_permits(entry, log, caller.organisation, decision)
    requested = caller.options.priority
    return Admission(
        caller=caller,
        decision=decision,
        priority=requested if decision.priority is None else decision.priority,
        deadline=log.started + _deadline_s(entry, caller.options, decision),
        dispatch_ids=log.dispatch_ids,
    )


def _take_permits(
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


def _internal(log: RequestLog) -> WigeonscaleError:
    state = RunState.UNKNOWN if log.request_id else RunState.NOT_RUN
    return WigeonscaleError(
        ErrorKind.INTERNAL, "the entry failed on this request", run_state=state
    )


def _finish(entry: EntryService, log: RequestLog) -> None:
    for permit in log.permits:
        permit.release()
    record(log, entry.clock.now(), entry.recorder)
