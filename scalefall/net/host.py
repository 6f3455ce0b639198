"""The host: owns the module, gathers its events, calls it once a tick and does on the sockets what it decides."""

from __future__ import annotations

import gc
import heapq
import signal
from collections.abc import Callable
from dataclasses import replace
from math import inf

from scalefall import interface as i
from scalefall.net import checks, http, learned_rates
from scalefall.net.checks import debug, check, log
from scalefall.net.config import Config, ConfigError, Fleet
from scalefall.net.endpoint_list import Entry, EndpointList
from scalefall.net.front import Front
from scalefall.net.journal import FAILED, RETURNED, Journal, Owed
from scalefall.net.notices import LoggedNotices, Notices
from scalefall.net.operators import Duty, Operators, OutFile
from scalefall.net.attempts import Load, Attempts, batch_size
from scalefall.net.static_list import StaticList
from scalefall.net.scheduler import Scheduler, Timer
from scalefall.net.transaction import Conflict, Failed, NotCarried, Taken, Transaction, UnavailableAnswer
from scalefall.policy import Sender

MS, SECOND = 1000, 1_000_000
RETRY_WHEN_FULL_US = SECOND  # when to come back, told by a sender that has no room
RETRY_WHEN_CLOSING_US = SECOND // 2  # and by one that is about to end: others will be there
DRAIN_MARGIN_US = 200 * MS  # a call whose first byte would go out later than the grace less this does not begin
OUTAGE_SEEN_US = 2 * SECOND  # an endpoint that is put back counts as seen down so long before
LINGER_US = SECOND  # after SIGTERM new connections still come for a while
IDLE_END_US = 2600 * MS  # then with no pass out there is nothing left to wait for
NO_ATTEMPTS_US = 3000 * MS  # no pass is to be out any more
END_US = 3200 * MS  # and the process ends, well before SIGKILL at 3.7 s
LAST_ANSWERS_US = 3270 * MS  # those who came last have their answers by then
REPORT_US = 10 * SECOND
RATES_PERIOD_US, RATE_SHARE_US = (
    SECOND,
    SECOND // 200,
)  # what the module knows of paces is kept for the next process so often,
# and no more than 200 of them a second
REMEMBER_ID_US = 30 * SECOND  # a repeat of an id that is over comes within this, or not at all
BYTES_PER_REMEMBERED_ID = 4096  # of the memory, for each id that may be remembered so long: 192 MB hold 46,875
OVERDUE_US = 50 * MS  # a message that the module has not ended so long after its time is ended for it
OWN_SOCKETS = 24  # descriptors that are neither a client's nor an endpoint's
LIST_MEMORY_DIVISOR = 16  # of the memory, that one object of discovery's list may take
MAX_BODY_BYTES = 64 * 1024  # the protocol's limit for any body, so for a call with several messages too


class Host:
    def __init__(self, scheduler: Scheduler, config: Config) -> None:
        share = (config.sockets - OWN_SOCKETS) // 2
        settings = replace(config.settings, slots=min(config.settings.slots, share))
        self._scheduler, self._config, self._settings = scheduler, config, settings
        self._engine = Sender(settings, config.seed)
        self._events: list[i.Event] = []
        self._step_planned, self._started_at = False, 0
        self._learned_rates: list[i.Known] = []  # what the process before knew, until the list is there
        self.address, self.admin = config.listen, config.admin
        self._open: dict[str, Transaction] = {}  # offered or taken on, and not over for the module
        self._finished_ids: dict[
            str, tuple[int, int]
        ] = {}  # ids lately taken on and over: when, and what they stood for
        self._deadlines: list[tuple[int, str]] = []  # when a message taken on has to be over, the first in front
        self._timer: Timer | None = None
        self._retry_after_until: dict[int | str, int] = {}  # until when, by destination or route apart
        self._wall_offset_us = scheduler.wall() - scheduler.now()  # to add for wall time
        self._rates_bytes = learned_rates.room(config.disk_bytes)
        self._maintenance_store = OutFile(config.state, config.disk_bytes) if config.admin else None
        self._admin_state = Duty(self._maintenance_store.load() if self._maintenance_store else set())
        beside = self._rates_bytes + (self._maintenance_store.room if self._maintenance_store else 0)
        self._journal = Journal(config.state, config.disk_bytes - beside)
        self._route_rules, self._reloading, self._reload_again = None, False, False
        reports = config.discovery or config.reports
        if config.fleet is None:
            self._endpoint_list = EndpointList(
                scheduler,
                config.discovery,
                config.known,
                self._endpoint_list_changed,
                not settings.ask,
                config.memory_bytes // LIST_MEMORY_DIVISOR,
                config.seed,
                _forget_after_us(settings),
            )
        else:
            self._endpoint_list = StaticList(
                scheduler, config.known, self._endpoint_list_changed, settings.drain_grace_us
            )
            self._apply_routes(config.fleet)
        self._delivery_reports = (
            Notices(scheduler, reports, self._journal.over) if reports else LoggedNotices(self._journal.over)
        )
        self._attempts = Attempts(scheduler, settings, share, self._settled, self._may_begin, self._open.__contains__)
        clients = min(share, config.memory_bytes // 4 // (http.MOST_HEAD + http.MOST_BODY))
        self.front = Front(scheduler, settings.classes, clients, self.submit, self.withdraw)
        self._admin_server = Operators(scheduler, self._handle_admin_call) if config.admin else None

    def start(self) -> None:
        for doubt in self._config.doubts:
            log.warning("configuration: %s", doubt)
        self._learned_rates = learned_rates.load(self._config.state, self._rates_bytes, self._scheduler.wall())
        self._endpoint_list.take_out(self._admin_state.out)
        self._endpoint_list.start()
        self._restore()
        self._step()
        self.address = self.front.listen(self._config.listen)
        log.info("ready: %s at %s:%d", self._config.name, *self.address)
        if self._admin_server is not None:
            self.admin = self._admin_server.listen(self._config.admin)
        self._scheduler.call_at(self._scheduler.now() + REPORT_US, self._report)
        self._scheduler.spawn(self._save_rates_for_ever)

    def _save_rates_for_ever(self) -> None:
        while not self._started_at:
            rows = self._engine.known()
            learned_rates.save(
                self._config.state,
                self._rates_bytes,
                rows,
                self._scheduler.wall(),
                lambda: self._scheduler.sleep(0),
            )
            self._scheduler.sleep(max(RATES_PERIOD_US, len(rows) * RATE_SHARE_US))

    def _report(self) -> None:
        checks.report()
        now = self._scheduler.now()
        self._retry_after_until = {bound: until for bound, until in self._retry_after_until.items() if until > now}
        self._scheduler.call_at(now + REPORT_US, self._report)

    # -- for operators

    def _handle_admin_call(self, method: str, target: str) -> int:
        """Carry out a call, and only then say yes."""
        status, what = self._admin_state.call(method, target, not self._started_at, self._endpoint_list.names)
        verb, _, name = what.partition(" ")
        match verb:
            case "out" | "back":
                wanted = self._admin_state.out | {name} if verb == "out" else self._admin_state.out - {name}
                if wanted != self._admin_state.out and not self._maintenance_store.save(wanted):
                    return 507
                if verb == "out":
                    self._endpoint_list.take_out({name})
                elif name in self._admin_state.out:
                    self._endpoint_list.put_back(name)
                    self._report_restarted(name)
            case "drain" | "resume":
                self.front.drain(verb == "drain")
        self._admin_state.done(what)
        return status

    def _report_restarted(self, name: str) -> None:
        """Back from maintenance it has been restarted: to be met as after an outage that others have seen, with a few
        calls and then more. Where its neighbours have served meanwhile, the partner as a whole was not down."""
        if self._endpoint_list.names(name):
            now = self._scheduler.now()
            for sent in (now - OUTAGE_SEEN_US, now + 2 * self._settings.tick_us):  # the second after the first is told
                self.gather(i.Reported(name, sent, i.Outcome.CONNECT_FAILED))

    # -- for fronts

    def submit(self, request: Transaction) -> None:
        """Hand a transaction to the module; its verdict comes with the turn, or at once if there is no room."""
        owed = self._journal.owed.get(request.id)
        if request.id in self._open:
            self._submit_repeated(request)
        elif request.id in self._finished_ids:  # ids are fresh: under one that was used no other message goes out
            same = self._finished_ids[request.id][1] == request.stands_for()
            request.decide(Taken() if same else Conflict())
        elif owed is not None:  # over, and its notice on the way: the same answer here
            request.decide(UnavailableAnswer(owed.after_ms * MS) if owed.end == RETURNED else Failed())
        elif self._started_at and self._scheduler.now() >= self._started_at + NO_ATTEMPTS_US:
            request.decide(UnavailableAnswer(RETRY_WHEN_CLOSING_US, True))
        elif not self._route_carries(request):
            request.decide(NotCarried())
        elif not self._endpoint_list.serves(request.destination):
            request.decide(UnavailableAnswer(RETRY_WHEN_FULL_US, True))
        elif len(self._open) >= self._settings.max_held or not self._journal.room(len(request.body)):
            request.decide(UnavailableAnswer(RETRY_WHEN_FULL_US, True))
        else:
            self._open[request.id] = request
            request.cls = self._settings.classes.get(request.class_name)
            self.gather(i.Message(request.id, request.destination, request.class_name, request.due))

    def _route_carries(self, request: Transaction) -> bool:
        """A route in the operator's file carries what it says there; any other has no endpoint anyway."""
        rules = self._route_rules and self._route_rules.get(request.destination)
        return not rules or request.class_name in rules.classes

    def _submit_repeated(self, request: Transaction) -> None:
        """The id of an open transaction once more. What is open stays as it was handed in, whoever asks: another's
        body under its id would be sent to an endpoint, and its client's leaving would take it away."""
        first = self._open[request.id]
        if first.stands_for() == request.stands_for() and first.verdict == Taken():
            first.promised = True
            request.decide(Taken())
        else:
            request.decide(Conflict())

    def _finish(self, name: str) -> Transaction | None:
        """Over for the module. Its id is remembered for as long as a repeat of it may be under way, and no longer."""
        request = self._open.pop(name, None)
        if request is not None and request.verdict == Taken():
            now = self._scheduler.now()
            self._finished_ids[name] = now, request.stands_for()
            most = self._config.memory_bytes // BYTES_PER_REMEMBERED_ID
            while len(self._finished_ids) > most or next(iter(self._finished_ids.values()))[0] < now - REMEMBER_ID_US:
                del self._finished_ids[next(iter(self._finished_ids))]
        return request

    def withdraw(self, request: Transaction) -> None:
        """Its client went before it had its answer: nothing more is owed."""
        if self._open.get(request.id) is request and not request.promised:
            del self._open[request.id]
            self._journal.over(request.id)
            self.gather(i.Dropped(request.id))

    # -- the module's turn

    def gather(self, event: i.Event) -> None:
        self._events.append(event)
        if not self._step_planned:
            self._step_planned = True
            tick = max(1, self._settings.tick_us)
            self._scheduler.call_at((self._scheduler.now() // tick + 1) * tick, self._step)

    def _step(self) -> None:
        self._step_planned = False
        events, self._events = self._events, []
        if not events:
            return
        handed_in = [
            event.id
            for event in events
            if isinstance(event, i.Message) and event.id in self._open and self._open[event.id].verdict is None
        ]
        try:
            self._perform(self._engine.handle(self._scheduler.now(), events), handed_in)
            verdict = Taken()
        except Exception:  # nothing was promised yet: what came in this turn goes elsewhere, the program carries on
            log.exception("the module failed in a turn")
            check(False, "the module failed in a turn")
            verdict = UnavailableAnswer(RETRY_WHEN_FULL_US, True)
        for name in handed_in:
            request = self._open.get(name)
            if request is not None:
                request.decide(verdict)
                if verdict != Taken():
                    self.withdraw(request)

    def _perform(self, actions: list[i.Action], handed_in: list[str]) -> None:
        """Final answers first, so that what is refused in its first turn is never journaled; sends last, by call."""
        sends: dict[str, list[i.Send]] = {}
        for action in actions:
            match action:
                case i.Refuse(id=name, retry_after_us=after):
                    self._shed(name, after)
                case i.Fail(id=name):
                    self._fail(name)
                case i.Send(endpoint=endpoint):
                    sends.setdefault(endpoint, []).append(action)
                case i.Cancel(id=name, attempt=attempt):
                    self._attempts.cancel(name, attempt)
                case i.SetTimer(token=token, delay_us=delay):
                    self._scheduler.call_at(self._scheduler.now() + delay, self.gather, i.Timer(token))
                case i.Close(endpoint=endpoint):
                    if endpoint in self._endpoint_list.entries:
                        self._attempts.close_idle(self._endpoint_list.entries[endpoint])
                case i.Subscribe():
                    self._endpoint_list.subscribe()
                case i.Log(line=line):
                    log.info("module: %s", line)
                case _:
                    check(False, f"the module asks only for what is allowed here, not {type(action).__name__}")
        for name in handed_in:
            if name in self._open:
                self._accept(self._open[name])
        for endpoint, calls in sends.items():
            entry = self._endpoint_list.entries.get(endpoint)
            if not check(entry is not None, "the module sends to endpoints that the list has"):
                self._report_unsent(endpoint, calls)
                continue
            most = self._settings.per_call.get(entry.endpoint.kind, 1)
            while calls:
                number = self._count_that_fit(calls[:most])
                self._begin(entry, calls[:number])
                calls = calls[number:]

    def _count_that_fit(self, calls: list[i.Send]) -> int:
        """How many of them one body holds; a single one always goes, as it is handed on as it came."""
        size = 0
        for number, send in enumerate(calls):
            request = self._open.get(send.id)
            size += batch_size(request.id, request.key, request.body) if request else 0
            alone = request is not None and request.alone
            if number and (size > MAX_BODY_BYTES or alone):
                return number
            if alone:
                return 1
        return len(calls)

    def _accept(self, request: Transaction) -> None:
        """Into the journal before the answer; what it can't hold after all is refused."""
        debug(
            "taken on %s: %s for %d, %d ms left",
            request.id,
            request.class_name,
            request.destination,
            (request.due - self._scheduler.now()) // MS,
            id=request.id,
            class_=request.class_name,
            dest=request.destination,
        )
        owed, cls = (
            Owed(
                request.id,
                request.class_name,
                request.destination,
                request.due + self._wall_offset_us,
                request.key,
                request.body,
            ),
            request.cls,
        )
        if cls is not None:
            owed.effect, owed.key_scope_zone, owed.key_ttl_us = cls.effect, cls.key_scope_zone, cls.key_ttl_us
        if not self._journal.take_on(owed):
            request.decide(UnavailableAnswer(RETRY_WHEN_FULL_US, True))
            self.withdraw(request)
        else:
            self._watch(request)

    def _watch(self, request: Transaction) -> None:
        """Its end does not hang on the module alone."""
        heapq.heappush(self._deadlines, (request.due, request.id))
        self._set_timer(request.due)

    def _set_timer(self, due: int) -> None:
        if self._timer is None or due + OVERDUE_US < self._timer.at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._scheduler.call_at(due + OVERDUE_US, self._fail_overdue)

    def _fail_overdue(self) -> None:
        """What is open past its time has failed, whatever became of it in the module. Where the process was held up for
        so long, the module's own timer came due in the same look, and its turn goes first."""
        self._step()
        now, late, self._timer = self._scheduler.now(), [], None
        while self._deadlines and (
            self._deadlines[0][0] + OVERDUE_US <= now or self._deadlines[0][1] not in self._open
        ):
            request = self._open.get(heapq.heappop(self._deadlines)[1])
            if request is not None and request.due + OVERDUE_US <= now:
                late.append(request.id)
                self._fail(request.id)
                self.gather(i.Dropped(request.id))
        if self._deadlines:
            self._set_timer(self._deadlines[0][0])
        if late:
            log.error("open past their time, and failed: %s", " ".join(late))
        check(not late, "the module ends every message in its time")

    def _report_unsent(self, endpoint: str, calls: list[i.Send]) -> None:
        for send in calls:
            request = self._open.get(send.id)
            attempt = request.attempts if request else 0
            if request:
                request.attempts += 1
            self.gather(i.Attempted(send.id, attempt, endpoint, i.Outcome.NOT_SENT, 0))

    def _begin(self, entry: Entry, calls: list[i.Send]) -> None:
        """One call with them. The message whose time ends last stands first: an answer that comes after the time of a
        call's first message ends none of them, and no call is out for longer than its last message has time."""
        now, loads, ids = self._scheduler.now(), [], []
        for send in sorted(calls, key=self._due_of, reverse=True):
            request = self._open.get(send.id)
            if request is None:  # not taken on after all: the attempt ends unsent
                self.gather(i.Attempted(send.id, 0, entry.endpoint.id, i.Outcome.NOT_SENT, 0, True))
                continue
            cls = request.cls
            loads.append(
                Load(
                    send.id,
                    request.attempts,
                    now + send.timeout_us,
                    request.key,
                    request.body,
                    cls is not None and cls.effect is i.Effect.UNSAFE,
                    self._begin_by(request),
                )
            )
            request.attempts += 1
            ids.append(send.id)
        if not loads:
            return
        if log.isEnabledFor(10):
            debug(
                "pass to %s: %s",
                entry.endpoint.id,
                " ".join(f"{load.id}/{load.attempt} for {(load.until - now) // MS} ms" for load in loads),
                ids=ids,
                endpoint=entry.endpoint.id,
                dest=entry.endpoint.destination,
            )
        if self._journal.pass_begun(ids, now + self._wall_offset_us, entry.endpoint.zone):
            self._attempts.begin(entry, loads)
        else:
            for load in loads:
                self.gather(i.Attempted(load.id, load.attempt, entry.endpoint.id, i.Outcome.NOT_SENT, 0))

    def _due_of(self, send: i.Send) -> int:
        return self._open[send.id].due if send.id in self._open else 0

    def _begin_by(self, request: Transaction) -> float:
        """Until when a repeat of it is dropped, if an attempt of a keyed class may have run."""
        cls, owed = request.cls, self._journal.owed.get(request.id)
        if cls is None or cls.effect is not i.Effect.KEYED or owed is None or not owed.ran_wall:
            return inf
        return owed.ran_wall - self._wall_offset_us + cls.key_ttl_us

    def _may_begin(self, entry: Entry) -> bool:
        """Whether the first byte of a call may still go out: asked once its connection is up."""
        now, endpoint = self._scheduler.now(), entry.endpoint
        left = self._endpoint_list.left_at.get(endpoint.id, now)
        drained = now - left > self._settings.drain_grace_us - DRAIN_MARGIN_US
        return (
            not drained
            and not self._endpoint_list.replaced(entry)
            and self._retry_after_until.get(self._wait_scope(endpoint), 0) <= now
        )

    def _endpoint_list_changed(self, event: i.Listed) -> None:
        """News of the endpoint list; connections to what wants nothing new are of no use any more."""
        for name in self._endpoint_list.left_at:
            self._attempts.left(self._endpoint_list.entries[name])
        self.gather(event)
        for known in self._learned_rates:  # of destinations that the first list has named
            self.gather(known)
        self._learned_rates = []

    def _wait_scope(self, endpoint: i.Endpoint) -> int | str:
        return endpoint.id if self._settings.apart.get(endpoint.kind) else endpoint.destination

    def _settled(self, event: i.Attempted, unreadable: bool) -> None:
        """An attempt has ended for one message. In a call of several that could not be read, one may spoil the others:
        each goes alone from now on."""
        if unreadable and event.id in self._open:
            self._open[event.id].alone = True
        debug(
            "outcome %s/%d at %s: %s after %d ms, wait %d ms, told %s",
            event.id,
            event.attempt,
            event.endpoint,
            event.outcome.value,
            event.latency_us // MS,
            event.wait_us // MS,
            event.report,
            id=event.id,
            attempt=event.attempt,
            endpoint=event.endpoint,
            outcome=event.outcome.value,
            latency_us=event.latency_us,
            told=event.report,
        )
        if event.wait_us and event.endpoint in self._endpoint_list.entries:
            bound = self._wait_scope(self._endpoint_list.entries[event.endpoint].endpoint)
            self._retry_after_until[bound] = max(
                self._retry_after_until.get(bound, 0), self._scheduler.now() + event.wait_us
            )
        if event.finished:
            self._journal.over(event.id)
            self._finish(event.id)
        else:
            self._journal.outcome(event.id, event.outcome not in i.NEVER_RAN)
            event.finished = event.id not in self._open
        self.gather(event)

    # -- final answers

    def _shed(self, name: str, after: int) -> None:
        request = self._finish(name)
        if request is None:
            return
        after = self._cap_retry_after(request, after)
        self._log_end("refused %s", request)
        if request.verdict is None:
            request.decide(UnavailableAnswer(after))
            return
        after_ms = -(-after // MS)
        self._journal.ended(name, RETURNED, after_ms)
        self._delivery_reports.returned(name, after_ms, request.due)

    def _cap_retry_after(self, request: Transaction, after: int) -> int:
        rules = self._route_rules and self._route_rules.get(request.destination)
        return min(after, rules.most_wait_us) if rules else after

    @staticmethod
    def _log_end(text: str, request: Transaction) -> None:
        debug(text, request.id, id=request.id, class_=request.class_name, dest=request.destination)

    def _fail(self, name: str) -> None:
        request = self._finish(name)
        if request is None:
            return
        self._log_end("failed %s", request)
        if request.verdict is None:
            request.decide(Failed())
            return
        self._journal.ended(name, FAILED, 0)
        self._delivery_reports.failed(name, request.due)

    # -- the start and the end

    def _restore(self) -> None:
        """What the last process left: notices go out again, and the module gets what is open with its history."""
        restored = 0
        for owed in list(self._journal.owed.values()):
            if owed.end == RETURNED:
                self._delivery_reports.returned(owed.id, owed.after_ms, owed.due_wall - self._wall_offset_us)
                continue
            if owed.end == FAILED:
                self._delivery_reports.failed(owed.id, owed.due_wall - self._wall_offset_us)
                continue
            restored += 1
            if owed.out:  # it was out when the process died: it may have run
                self._journal.outcome(owed.id, True)
            cls = self._class_when_accepted(owed)
            self._open[owed.id] = Transaction(
                owed.id,
                owed.class_name,
                owed.destination,
                owed.due_wall - self._wall_offset_us,
                owed.key,
                owed.body,
                owed.attempts,
                Taken(),
                cls=cls,
            )
            self._watch(self._open[owed.id])
            self.gather(
                i.Message(
                    owed.id,
                    owed.destination,
                    owed.class_name,
                    owed.due_wall - self._wall_offset_us,
                    None,
                    None,
                    owed.attempts,
                    owed.ran_wall - self._wall_offset_us if owed.ran_wall else None,
                    owed.ran_zone,
                    restored=True,
                    cls=cls,
                )
            )
        if self._journal.owed:
            log.info("restored: %d open, %d with a notice to deliver", restored, len(self._journal.owed) - restored)

    def _class_when_accepted(self, owed: Owed) -> i.MessageClass | None:
        """Its class as the settings have it now; but whether, where and for how long it may be repeated is as it was
        when it was taken on: the settings may have changed since, and it may have run."""
        cls = self._settings.classes.get(owed.class_name)
        if cls is None or owed.effect is None:
            return cls
        return replace(cls, effect=owed.effect, key_scope_zone=owed.key_scope_zone, key_ttl_us=owed.key_ttl_us)

    def reload(self, read_again: Callable[[], Config]) -> None:
        """SIGHUP: discovery, and with it the platform, may have moved, classes may have come and gone, and attempts
        may be others. All else is settled at the start, but for a fleet of the operator's own: its file may be long,
        and is read beside the sending."""
        if self._config.fleet is not None:
            self._reload_again = True
            if not self._reloading:
                self._reloading = True
                self._scheduler.spawn(self._reload_fleet, read_again)
            return
        try:
            config = read_again()
        except ConfigError as error:
            log.error("configuration not taken, the old settings stay: %s", error)
            return
        log.info("configuration read again: discovery at %s:%d", *config.discovery)
        self._endpoint_list.move(config.discovery)
        self._delivery_reports.move(config.discovery)
        self._apply_settings(config.settings)

    def _apply_settings(self, new: i.Settings) -> None:
        """Classes and attempts from now on. What is open keeps the rules that it was taken on under."""
        old, now = self._settings.classes, dict(new.classes)
        added, dropped = sorted(new.classes.keys() - old.keys()), sorted(old.keys() - new.classes.keys())
        changed = sorted(name for name in new.classes.keys() & old.keys() if new.classes[name] != old[name])
        if added or dropped or changed or new.max_attempts != self._settings.max_attempts:
            log.info(
                "retuned: classes new: %s; gone: %s; changed: %s; attempts %d",
                " ".join(added) or "none",
                " ".join(dropped) or "none",
                " ".join(changed) or "none",
                new.max_attempts,
            )
        old.clear()  # the front and the module have the same table
        old.update(now)
        self._settings.max_attempts = new.max_attempts
        self._endpoint_list.keep_for(_forget_after_us(self._settings))

    def _reload_fleet(self, read_again: Callable[[], Config]) -> None:
        try:
            while self._reload_again:
                self._reload_again = False
                try:
                    config = self._scheduler.in_thread(read_again)
                except ConfigError as error:
                    for line in str(error).splitlines():
                        log.error("configuration not taken, the old settings stay: %s", line)
                    continue
                for line in config.left:
                    log.warning("left as it was until a restart: %s", line)
                self._apply_routes(config.fleet)
                added, gone, changed = self._endpoint_list.replace(config.fleet.entries)
                log.info(
                    "configuration read again: %d endpoints, %d new, %d gone, %d changed; %d routes",
                    len(config.fleet.entries),
                    added,
                    gone,
                    changed,
                    len(config.fleet.routes),
                )
        finally:
            self._reloading = False

    def _apply_routes(self, fleet: Fleet) -> None:
        """The routes' rules from now on; what is open keeps its attempts. A large fleet stays as it is for long:
        the collector, which held everything up for 0.1 s over 20,000 endpoints, need not go through it again."""
        self._route_rules = fleet.routes
        self._scheduler.call_at(self._scheduler.now(), gc.freeze)
        self._settings.attempts = {number: rules.attempts for number, rules in fleet.routes.items()}

    def close(self) -> None:
        """SIGTERM: answer while connections come, begin nothing that may not finish, and end in time."""
        if self._started_at:
            return
        self._started_at = self._scheduler.now()
        log.info("closing: %d open, %d attempts out", len(self._open), self._attempts.out)
        self.gather(i.Closing(self._started_at + NO_ATTEMPTS_US))
        self.front.close_idle()
        self._scheduler.spawn(self._wind_up)

    def _wind_up(self) -> None:
        while not self._may_end(self._scheduler.now() - self._started_at):
            self._scheduler.sleep(20 * MS)
        self.front.stop_listening()
        if self._admin_server is not None:
            self._admin_server.close()
        self._scheduler.sleep(20 * MS)
        while self._scheduler.now() - self._started_at < LAST_ANSWERS_US and (
            self.front.answering or not self._may_end(self._scheduler.now() - self._started_at)
        ):
            self._scheduler.sleep(5 * MS)  # whoever was in the listener's queue, and what they handed in
        self.front.end()
        self._scheduler.sleep(5 * MS)
        log.info("ended: %d left to the journal, %d attempts out", len(self._open), self._attempts.out)
        checks.report()
        learned_rates.save(self._config.state, self._rates_bytes, self._engine.known(), self._scheduler.wall())
        self._scheduler.stop()

    def _may_end(self, since: int) -> bool:
        if since >= END_US:
            return True
        rest = not self._open and self._delivery_reports.idle or since >= IDLE_END_US
        return since >= LINGER_US and rest and not self._attempts.out and not self.front.answering


def _forget_after_us(settings: i.Settings) -> int:
    """For how long an endpoint that went has to be known: twice as long as any message may take."""
    return 2 * max((cls.deadline_us for cls in settings.classes.values()), default=0)


def run(config: Config, read_again: Callable[[], Config] | None = None) -> None:
    """Serve until SIGTERM or SIGINT has been heeded. SIGHUP reads the configuration again, where that is given."""
    scheduler = Scheduler()
    host = Host(scheduler, config)
    for number in (signal.SIGTERM, signal.SIGINT):
        scheduler.on_signal(number, host.close)
    scheduler.on_signal(signal.SIGHUP, lambda: host.reload(read_again or (lambda: config)))
    host.start()
    scheduler.run()
