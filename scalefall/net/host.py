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
FULL_US = SECOND  # when to come back, told by a sender that has no room
CLOSING_US = SECOND // 2  # and by one that is about to end: others will be there
DRAIN_MARGIN_US = 200 * MS  # a call whose first byte would go out later than the grace less this does not begin
COLD_SEEN_US = 2 * SECOND  # an endpoint that is put back counts as seen down so long before
LINGER_US = SECOND  # after SIGTERM new connections still come for a while
LAST_CALL_US = 2600 * MS  # then with no pass out there is nothing left to wait for
CLOSED_US = 3000 * MS  # no pass is to be out any more
END_US = 3200 * MS  # and the process ends, well before SIGKILL at 3.7 s
ENDED_BY_US = 3270 * MS  # those who came last have their answers by then
REPORT_US = 10 * SECOND
PACES_US, PACE_US = SECOND, SECOND // 200  # what the module knows of paces is kept for the next process so often,
# and no more than 200 of them a second
ENDED_US = 30 * SECOND  # a repeat of an id that is over comes within this, or not at all
ENDED_BYTES = 4096  # of the memory, for each id that may be remembered so long: 192 MB hold 46,875
OVERDUE_US = 50 * MS  # a message that the module has not ended so long after its time is ended for it
OWN_SOCKETS = 24  # descriptors that are neither a client's nor an endpoint's
LIST_PART = 16  # of the memory, that one object of discovery's list may take
MOST_CALL = 64 * 1024  # the protocol's limit for any body, so for a call with several messages too


class Host:
    def __init__(self, scheduler: Scheduler, config: Config) -> None:
        share = (config.sockets - OWN_SOCKETS) // 2
        settings = replace(config.settings, slots=min(config.settings.slots, share))
        self._scheduler, self._config, self._set = scheduler, config, settings
        self._module = Sender(settings, config.seed)
        self._events: list[i.Event] = []
        self._planned, self._closing_at = False, 0
        self._learned_rates: list[i.Known] = []  # what the process before knew, until the list is there
        self.address, self.admin = config.listen, config.admin
        self._open: dict[str, Transaction] = {}  # offered or taken on, and not over for the module
        self._ended: dict[str, tuple[int, int]] = {}  # ids lately taken on and over: when, and what they stood for
        self._due: list[tuple[int, str]] = []  # when a message taken on has to be over, the first in front
        self._due_timer: Timer | None = None
        self._waits: dict[int | str, int] = {}  # until when, by destination or route apart
        self._wall = scheduler.wall() - scheduler.now()  # to add for wall time
        self._learned_rates_room = learned_rates.room(config.disk_bytes)
        self._out = OutFile(config.state, config.disk_bytes) if config.admin else None
        self._duty = Duty(self._out.load() if self._out else set())
        beside = self._learned_rates_room + (self._out.room if self._out else 0)
        self._journal = Journal(config.state, config.disk_bytes - beside)
        self._rules, self._reloading, self._reload_again = None, False, False
        reports = config.discovery or config.reports
        if config.fleet is None:
            self._endpoint_list = EndpointList(
                scheduler,
                config.discovery,
                config.known,
                self._listed,
                not settings.ask,
                config.memory_bytes // LIST_PART,
                config.seed,
                _listed_for(settings),
            )
        else:
            self._endpoint_list = StaticList(scheduler, config.known, self._listed, settings.drain_grace_us)
            self._follow(config.fleet)
        self._notices = (
            Notices(scheduler, reports, self._journal.over) if reports else LoggedNotices(self._journal.over)
        )
        self._attempts = Attempts(scheduler, settings, share, self._settled, self._may_begin, self._open.__contains__)
        clients = min(share, config.memory_bytes // 4 // (http.MOST_HEAD + http.MOST_BODY))
        self.front = Front(scheduler, settings.classes, clients, self.offer, self.withdraw)
        self._operators = Operators(scheduler, self._operated) if config.admin else None

    def start(self) -> None:
        for doubt in self._config.doubts:
            log.warning("configuration: %s", doubt)
        self._learned_rates = learned_rates.load(self._config.state, self._learned_rates_room, self._scheduler.wall())
        self._endpoint_list.take_out(self._duty.out)
        self._endpoint_list.start()
        self._restore()
        self._turn()
        self.address = self.front.listen(self._config.listen)
        log.info("ready: %s at %s:%d", self._config.name, *self.address)
        if self._operators is not None:
            self.admin = self._operators.listen(self._config.admin)
        self._scheduler.call_at(self._scheduler.now() + REPORT_US, self._report)
        self._scheduler.spawn(self._remember)

    def _remember(self) -> None:
        while not self._closing_at:
            rows = self._module.known()
            learned_rates.save(
                self._config.state,
                self._learned_rates_room,
                rows,
                self._scheduler.wall(),
                lambda: self._scheduler.sleep(0),
            )
            self._scheduler.sleep(max(PACES_US, len(rows) * PACE_US))

    def _report(self) -> None:
        checks.report()
        now = self._scheduler.now()
        self._waits = {bound: until for bound, until in self._waits.items() if until > now}
        self._scheduler.call_at(now + REPORT_US, self._report)

    # -- for operators

    def _operated(self, method: str, target: str) -> int:
        """Carry out a call, and only then say yes."""
        status, what = self._duty.call(method, target, not self._closing_at, self._endpoint_list.names)
        verb, _, name = what.partition(" ")
        match verb:
            case "out" | "back":
                wanted = self._duty.out | {name} if verb == "out" else self._duty.out - {name}
                if wanted != self._duty.out and not self._out.save(wanted):
                    return 507
                if verb == "out":
                    self._endpoint_list.take_out({name})
                elif name in self._duty.out:
                    self._endpoint_list.put_back(name)
                    self._cold(name)
            case "drain" | "resume":
                self.front.drain(verb == "drain")
        self._duty.done(what)
        return status

    def _cold(self, name: str) -> None:
        """Back from maintenance it has been restarted: to be met as after an outage that others have seen, with a few
        calls and then more. Where its neighbours have served meanwhile, the partner as a whole was not down."""
        if self._endpoint_list.names(name):
            now = self._scheduler.now()
            for sent in (now - COLD_SEEN_US, now + 2 * self._set.tick_us):  # the second after the first is told
                self._gather(i.Reported(name, sent, i.Outcome.CONNECT_FAILED))

    # -- for fronts

    def offer(self, transaction: Transaction) -> None:
        """Hand a transaction to the module; its verdict comes with the turn, or at once if there is no room."""
        owed = self._journal.owed.get(transaction.id)
        if transaction.id in self._open:
            self._again(transaction)
        elif transaction.id in self._ended:  # ids are fresh: under one that was used no other message goes out
            same = self._ended[transaction.id][1] == transaction.stands_for()
            transaction.decide(Taken() if same else Conflict())
        elif owed is not None:  # over, and its notice on the way: the same answer here
            transaction.decide(UnavailableAnswer(owed.after_ms * MS) if owed.end == RETURNED else Failed())
        elif self._closing_at and self._scheduler.now() >= self._closing_at + CLOSED_US:
            transaction.decide(UnavailableAnswer(CLOSING_US, True))
        elif not self._carried(transaction):
            transaction.decide(NotCarried())
        elif not self._endpoint_list.serves(transaction.destination):
            transaction.decide(UnavailableAnswer(FULL_US, True))
        elif len(self._open) >= self._set.max_held or not self._journal.room(len(transaction.body)):
            transaction.decide(UnavailableAnswer(FULL_US, True))
        else:
            self._open[transaction.id] = transaction
            transaction.cls = self._set.classes.get(transaction.class_name)
            self._gather(i.Message(transaction.id, transaction.destination, transaction.class_name, transaction.due))

    def _carried(self, transaction: Transaction) -> bool:
        """A route in the operator's file carries what it says there; any other has no endpoint anyway."""
        rules = self._rules and self._rules.get(transaction.destination)
        return not rules or transaction.class_name in rules.classes

    def _again(self, transaction: Transaction) -> None:
        """The id of an open transaction once more. What is open stays as it was handed in, whoever asks: another's
        body under its id would be sent to an endpoint, and its client's leaving would take it away."""
        first = self._open[transaction.id]
        if first.stands_for() == transaction.stands_for() and first.verdict == Taken():
            first.promised = True
            transaction.decide(Taken())
        else:
            transaction.decide(Conflict())

    def _end(self, name: str) -> Transaction | None:
        """Over for the module. Its id is remembered for as long as a repeat of it may be under way, and no longer."""
        transaction = self._open.pop(name, None)
        if transaction is not None and transaction.verdict == Taken():
            now = self._scheduler.now()
            self._ended[name] = now, transaction.stands_for()
            most = self._config.memory_bytes // ENDED_BYTES
            while len(self._ended) > most or next(iter(self._ended.values()))[0] < now - ENDED_US:
                del self._ended[next(iter(self._ended))]
        return transaction

    def withdraw(self, transaction: Transaction) -> None:
        """Its client went before it had its answer: nothing more is owed."""
        if self._open.get(transaction.id) is transaction and not transaction.promised:
            del self._open[transaction.id]
            self._journal.over(transaction.id)
            self._gather(i.Dropped(transaction.id))

    # -- the module's turn

    def _gather(self, event: i.Event) -> None:
        self._events.append(event)
        if not self._planned:
            self._planned = True
            tick = max(1, self._set.tick_us)
            self._scheduler.call_at((self._scheduler.now() // tick + 1) * tick, self._turn)

    def _turn(self) -> None:
        self._planned = False
        events, self._events = self._events, []
        if not events:
            return
        handed_in = [
            event.id
            for event in events
            if isinstance(event, i.Message) and event.id in self._open and self._open[event.id].verdict is None
        ]
        try:
            self._perform(self._module.handle(self._scheduler.now(), events), handed_in)
            verdict = Taken()
        except Exception:  # nothing was promised yet: what came in this turn goes elsewhere, the program carries on
            log.exception("the module failed in a turn")
            check(False, "the module failed in a turn")
            verdict = UnavailableAnswer(FULL_US, True)
        for name in handed_in:
            transaction = self._open.get(name)
            if transaction is not None:
                transaction.decide(verdict)
                if verdict != Taken():
                    self.withdraw(transaction)

    def _perform(self, actions: list[i.Action], handed_in: list[str]) -> None:
        """Final answers first, so that what is refused in its first turn is never journaled; sends last, by call."""
        sends: dict[str, list[i.Send]] = {}
        for action in actions:
            match action:
                case i.Refuse(id=name, retry_after_us=after):
                    self._refuse(name, after)
                case i.Fail(id=name):
                    self._fail(name)
                case i.Send(endpoint=endpoint):
                    sends.setdefault(endpoint, []).append(action)
                case i.Cancel(id=name, attempt=attempt):
                    self._attempts.cancel(name, attempt)
                case i.SetTimer(token=token, delay_us=delay):
                    self._scheduler.call_at(self._scheduler.now() + delay, self._gather, i.Timer(token))
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
                self._take_on(self._open[name])
        for endpoint, calls in sends.items():
            entry = self._endpoint_list.entries.get(endpoint)
            if not check(entry is not None, "the module sends to endpoints that the list has"):
                self._unsent(endpoint, calls)
                continue
            most = self._set.per_call.get(entry.endpoint.kind, 1)
            while calls:
                number = self._fitting(calls[:most])
                self._begin(entry, calls[:number])
                calls = calls[number:]

    def _fitting(self, calls: list[i.Send]) -> int:
        """How many of them one body holds; a single one always goes, as it is handed on as it came."""
        size = 0
        for number, send in enumerate(calls):
            transaction = self._open.get(send.id)
            size += batch_size(transaction.id, transaction.key, transaction.body) if transaction else 0
            alone = transaction is not None and transaction.alone
            if number and (size > MOST_CALL or alone):
                return number
            if alone:
                return 1
        return len(calls)

    def _take_on(self, transaction: Transaction) -> None:
        """Into the journal before the answer; what it can't hold after all is refused."""
        debug(
            "taken on %s: %s for %d, %d ms left",
            transaction.id,
            transaction.class_name,
            transaction.destination,
            (transaction.due - self._scheduler.now()) // MS,
            id=transaction.id,
            class_=transaction.class_name,
            dest=transaction.destination,
        )
        owed, cls = (
            Owed(
                transaction.id,
                transaction.class_name,
                transaction.destination,
                transaction.due + self._wall,
                transaction.key,
                transaction.body,
            ),
            transaction.cls,
        )
        if cls is not None:
            owed.effect, owed.key_scope_zone, owed.key_ttl_us = cls.effect, cls.key_scope_zone, cls.key_ttl_us
        if not self._journal.take_on(owed):
            transaction.decide(UnavailableAnswer(FULL_US, True))
            self.withdraw(transaction)
        else:
            self._owe(transaction)

    def _owe(self, transaction: Transaction) -> None:
        """Its end does not hang on the module alone."""
        heapq.heappush(self._due, (transaction.due, transaction.id))
        self._look_at(transaction.due)

    def _look_at(self, due: int) -> None:
        if self._due_timer is None or due + OVERDUE_US < self._due_timer.at:
            if self._due_timer is not None:
                self._due_timer.cancel()
            self._due_timer = self._scheduler.call_at(due + OVERDUE_US, self._overdue)

    def _overdue(self) -> None:
        """What is open past its time has failed, whatever became of it in the module. Where the process was held up for
        so long, the module's own timer came due in the same look, and its turn goes first."""
        self._turn()
        now, late, self._due_timer = self._scheduler.now(), [], None
        while self._due and (self._due[0][0] + OVERDUE_US <= now or self._due[0][1] not in self._open):
            transaction = self._open.get(heapq.heappop(self._due)[1])
            if transaction is not None and transaction.due + OVERDUE_US <= now:
                late.append(transaction.id)
                self._fail(transaction.id)
                self._gather(i.Dropped(transaction.id))
        if self._due:
            self._look_at(self._due[0][0])
        if late:
            log.error("open past their time, and failed: %s", " ".join(late))
        check(not late, "the module ends every message in its time")

    def _unsent(self, endpoint: str, calls: list[i.Send]) -> None:
        for send in calls:
            transaction = self._open.get(send.id)
            attempt = transaction.attempts if transaction else 0
            if transaction:
                transaction.attempts += 1
            self._gather(i.Attempted(send.id, attempt, endpoint, i.Outcome.NOT_SENT, 0))

    def _begin(self, entry: Entry, calls: list[i.Send]) -> None:
        """One call with them. The message whose time ends last stands first: an answer that comes after the time of a
        call's first message ends none of them, and no call is out for longer than its last message has time."""
        now, loads, ids = self._scheduler.now(), [], []
        for send in sorted(calls, key=self._time_left, reverse=True):
            transaction = self._open.get(send.id)
            if transaction is None:  # not taken on after all: the attempt ends unsent
                self._gather(i.Attempted(send.id, 0, entry.endpoint.id, i.Outcome.NOT_SENT, 0, True))
                continue
            cls = transaction.cls
            loads.append(
                Load(
                    send.id,
                    transaction.attempts,
                    now + send.timeout_us,
                    transaction.key,
                    transaction.body,
                    cls is not None and cls.effect is i.Effect.UNSAFE,
                    self._begin_by(transaction),
                )
            )
            transaction.attempts += 1
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
        if self._journal.pass_begun(ids, now + self._wall, entry.endpoint.zone):
            self._attempts.begin(entry, loads)
        else:
            for load in loads:
                self._gather(i.Attempted(load.id, load.attempt, entry.endpoint.id, i.Outcome.NOT_SENT, 0))

    def _time_left(self, send: i.Send) -> int:
        return self._open[send.id].due if send.id in self._open else 0

    def _begin_by(self, transaction: Transaction) -> float:
        """Until when a repeat of it is dropped, if an attempt of a keyed class may have run."""
        cls, owed = transaction.cls, self._journal.owed.get(transaction.id)
        if cls is None or cls.effect is not i.Effect.KEYED or owed is None or not owed.ran_wall:
            return inf
        return owed.ran_wall - self._wall + cls.key_ttl_us

    def _may_begin(self, entry: Entry) -> bool:
        """Whether the first byte of a call may still go out: asked once its connection is up."""
        now, endpoint = self._scheduler.now(), entry.endpoint
        left = self._endpoint_list.left_at.get(endpoint.id, now)
        drained = now - left > self._set.drain_grace_us - DRAIN_MARGIN_US
        return (
            not drained and not self._endpoint_list.replaced(entry) and self._waits.get(self._bound(endpoint), 0) <= now
        )

    def _listed(self, event: i.Listed) -> None:
        """News of the endpoint list; connections to what wants nothing new are of no use any more."""
        for name in self._endpoint_list.left_at:
            self._attempts.left(self._endpoint_list.entries[name])
        self._gather(event)
        for known in self._learned_rates:  # of destinations that the first list has named
            self._gather(known)
        self._learned_rates = []

    def _bound(self, endpoint: i.Endpoint) -> int | str:
        return endpoint.id if self._set.apart.get(endpoint.kind) else endpoint.destination

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
            bound = self._bound(self._endpoint_list.entries[event.endpoint].endpoint)
            self._waits[bound] = max(self._waits.get(bound, 0), self._scheduler.now() + event.wait_us)
        if event.finished:
            self._journal.over(event.id)
            self._end(event.id)
        else:
            self._journal.outcome(event.id, event.outcome not in i.NEVER_RAN)
            event.finished = event.id not in self._open
        self._gather(event)

    # -- final answers

    def _refuse(self, name: str, after: int) -> None:
        transaction = self._end(name)
        if transaction is None:
            return
        after = self._at_most(transaction, after)
        self._say("refused %s", transaction)
        if transaction.verdict is None:
            transaction.decide(UnavailableAnswer(after))
            return
        after_ms = -(-after // MS)
        self._journal.ended(name, RETURNED, after_ms)
        self._notices.returned(name, after_ms, transaction.due)

    def _at_most(self, transaction: Transaction, after: int) -> int:
        rules = self._rules and self._rules.get(transaction.destination)
        return min(after, rules.most_wait_us) if rules else after

    @staticmethod
    def _say(text: str, transaction: Transaction) -> None:
        debug(text, transaction.id, id=transaction.id, class_=transaction.class_name, dest=transaction.destination)

    def _fail(self, name: str) -> None:
        transaction = self._end(name)
        if transaction is None:
            return
        self._say("failed %s", transaction)
        if transaction.verdict is None:
            transaction.decide(Failed())
            return
        self._journal.ended(name, FAILED, 0)
        self._notices.failed(name, transaction.due)

    # -- the start and the end

    def _restore(self) -> None:
        """What the last process left: notices go out again, and the module gets what is open with its history."""
        restored = 0
        for owed in list(self._journal.owed.values()):
            if owed.end == RETURNED:
                self._notices.returned(owed.id, owed.after_ms, owed.due_wall - self._wall)
                continue
            if owed.end == FAILED:
                self._notices.failed(owed.id, owed.due_wall - self._wall)
                continue
            restored += 1
            if owed.out:  # it was out when the process died: it may have run
                self._journal.outcome(owed.id, True)
            cls = self._rules_of(owed)
            self._open[owed.id] = Transaction(
                owed.id,
                owed.class_name,
                owed.destination,
                owed.due_wall - self._wall,
                owed.key,
                owed.body,
                owed.attempts,
                Taken(),
                cls=cls,
            )
            self._owe(self._open[owed.id])
            self._gather(
                i.Message(
                    owed.id,
                    owed.destination,
                    owed.class_name,
                    owed.due_wall - self._wall,
                    None,
                    None,
                    owed.attempts,
                    owed.ran_wall - self._wall if owed.ran_wall else None,
                    owed.ran_zone,
                    restored=True,
                    cls=cls,
                )
            )
        if self._journal.owed:
            log.info("restored: %d open, %d with a notice to deliver", restored, len(self._journal.owed) - restored)

    def _rules_of(self, owed: Owed) -> i.MessageClass | None:
        """Its class as the settings have it now; but whether, where and for how long it may be repeated is as it was
        when it was taken on: the settings may have changed since, and it may have run."""
        cls = self._set.classes.get(owed.class_name)
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
        self._notices.move(config.discovery)
        self._retune(config.settings)

    def _retune(self, new: i.Settings) -> None:
        """Classes and attempts from now on. What is open keeps the rules that it was taken on under."""
        old, now = self._set.classes, dict(new.classes)
        added, dropped = sorted(new.classes.keys() - old.keys()), sorted(old.keys() - new.classes.keys())
        changed = sorted(name for name in new.classes.keys() & old.keys() if new.classes[name] != old[name])
        if added or dropped or changed or new.max_attempts != self._set.max_attempts:
            log.info(
                "retuned: classes new: %s; gone: %s; changed: %s; attempts %d",
                " ".join(added) or "none",
                " ".join(dropped) or "none",
                " ".join(changed) or "none",
                new.max_attempts,
            )
        old.clear()  # the front and the module have the same table
        old.update(now)
        self._set.max_attempts = new.max_attempts
        self._endpoint_list.keep_for(_listed_for(self._set))

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
                self._follow(config.fleet)
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

    def _follow(self, fleet: Fleet) -> None:
        """The routes' rules from now on; what is open keeps its attempts. A large fleet stays as it is for long:
        the collector, which held everything up for 0.1 s over 20,000 endpoints, need not go through it again."""
        self._rules = fleet.routes
        self._scheduler.call_at(self._scheduler.now(), gc.freeze)
        self._set.attempts = {number: rules.attempts for number, rules in fleet.routes.items()}

    def close(self) -> None:
        """SIGTERM: answer while connections come, begin nothing that may not finish, and end in time."""
        if self._closing_at:
            return
        self._closing_at = self._scheduler.now()
        log.info("closing: %d open, %d attempts out", len(self._open), self._attempts.out)
        self._gather(i.Closing(self._closing_at + CLOSED_US))
        self.front.close_idle()
        self._scheduler.spawn(self._wind_up)

    def _wind_up(self) -> None:
        while not self._may_end(self._scheduler.now() - self._closing_at):
            self._scheduler.sleep(20 * MS)
        self.front.stop_listening()
        if self._operators is not None:
            self._operators.close()
        self._scheduler.sleep(20 * MS)
        while self._scheduler.now() - self._closing_at < ENDED_BY_US and (
            self.front.answering or not self._may_end(self._scheduler.now() - self._closing_at)
        ):
            self._scheduler.sleep(5 * MS)  # whoever was in the listener's queue, and what they handed in
        self.front.end()
        self._scheduler.sleep(5 * MS)
        log.info("ended: %d left to the journal, %d attempts out", len(self._open), self._attempts.out)
        checks.report()
        learned_rates.save(self._config.state, self._learned_rates_room, self._module.known(), self._scheduler.wall())
        self._scheduler.stop()

    def _may_end(self, since: int) -> bool:
        if since >= END_US:
            return True
        rest = not self._open and self._notices.idle or since >= LAST_CALL_US
        return since >= LINGER_US and rest and not self._attempts.out and not self.front.answering


def _listed_for(settings: i.Settings) -> int:
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
