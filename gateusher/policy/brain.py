"""Every decision of the balancer; the types that go in and out are in interface.py.

Each client keeps a probability c per server, draws a control set with independent coins, sends to the member
with the least reported load over estimated speed, and moves c by whether latency beat its own running target.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from math import frexp, log, log1p
from random import Random

from .fellows import FELLOWS, Words, faded, warned
from .interface import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    CloseIdleConnections,
    DeduplicationScope,
    Effect,
    Endpoint,
    EndpointListUpdate,
    EndpointState,
    Event,
    Fail,
    GossipHint,
    HealthCheck,
    HealthCheckEnded,
    Outcome,
    ProcessResumed,
    Reject,
    Request,
    ResponseStarted,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    TimerFired,
    UpdateKind,
    UploadCompleted,
    WatchEndpointList,
)
from .records import Lane, Server, Work, spread

RAISE, LOWER = 0.1, 0.15  # a and b of the automaton
SET_LEAST, SET_MOST = 4.0, 8.0  # bounds of the expected control set
FAVOURED, FLOOR_SET = 6, 0.3  # servers that start likely; what all floors together add to a set
WARM = 0.7  # part of the usual work where a key may be known
SILENT = 1.0  # part of the unit of time that a server may be silent with work in hand
DOWN = 8.0  # units after which one whose connections failed may have been started anew
HEARD = 1 / 3  # so many units after an answer a break is no sign of death
PACE = 0.16  # step of the share let in
TURNED_AWAY, NARROWER = 0.4, 0.5  # part of its attempts that may find no place at full width, and more below
ROOM_LEAST, ROOM_MOST = 0.1, 1.5  # its bounds: never shut, and full again soon after
AT_ONCE = 4  # so many tries follow each other at once
AGAIN, IN_NEED = 250.0, 1000.0  # the first wait after a failed watch; the longest while in need
QUEUED = 4.0  # so many times longer does an attempt wait where all turn work away
LATE, IN_VAIN = 1 / 3, 2.0  # part of the attempts beyond which all are late; what one that runs out weighs
SOME = 8  # so many servers tell of all
LOOKED_AT = 64  # cold servers that are looked at for one request
LEVELS = 14  # levels of c, each half of the one before
BROKE = (Outcome.CONNECT_FAILED, Outcome.RESET)
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
WATCH, HOLD = 0, 1  # timer tokens: the list; above it, a held request's id


class Balancer:
    """One client's decisions: the same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng = settings, Random(seed)
        self.rnd = self.rng.random
        self.now, self.acts = 0.0, list[Action]()
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.levels: list[list[Server]] = [[] for _ in range(LEVELS)]
        self.gaps = [log1p(-(0.5**k)) if k else 0.0 for k in range(LEVELS)]
        self.total, self.floor = 0.0, 0.01
        self.watching, self.watch_fails, self.watch_from, self.watch_due = False, 0, 0.0, 0.0
        self.work: dict[int, Work] = {}
        self.live: tuple[int, ...] = tuple(range(len(settings.classes)))
        self.once: frozenset[int] = frozenset()  # classes that were repeatable until other settings came
        self.full, self.late, self.room, self.room_at = 0.0, 0.0, ROOM_MOST, 0.0
        self.ring: list[tuple[int, Server]] = []
        self.mix = [1.0 / len(settings.classes)] * len(settings.classes)
        classes = settings.classes
        self._pace()
        self.target = [c.latency_objective_ms / 4 for c in classes]
        self.service = [c.latency_objective_ms / 4 for c in classes]
        self.fit = [[1.0] * len(classes) for _ in range(settings.kinds + 1)]
        self.mean_load, self.mean_share, self.rate, self.rate_at = 0.0, 1.0, 0.0, 0.0
        self.count, self.woke_at = [0] * len(classes), -1e12
        self.words = Words()
        self.cold: list[Server] = []  # those that were cold when they were last looked at
        self.field = next((i for i, f in enumerate(settings.report_fields) if f in ("waiting", "active")), -1)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event, give the actions it calls for."""
        self.now, self.acts = now_ms, []
        if handler := HANDLERS.get(type(event)):  # peers' messages decide nothing here
            handler(self, event)
        return self.acts

    # -- settings

    def _pace(self) -> None:
        classes = [self.s.classes[i] for i in self.live]
        self.most_worth = max([1e-9] + [c.priority_weight for c in classes])
        self.unit = max([1.0] + [c.latency_objective_ms for c in classes]) / 4  # waits follow the deployment's pace

    def _retuned(self, news: SettingsChanged) -> None:
        """Other settings.  What was learnt of a class goes on under its new index: it is the same work.

        A class that nobody knew begins as all did at the start.  Requests in hand keep their index, and have
        the fewer of the attempts that old and new settings allow.  It could mislead for a moment where a
        class keeps its name and becomes other work.  Where the new word is stricter about repeats it holds for
        those in hand too.
        """
        self.s, self.live, self.once = news.settings, news.live_classes, news.never_repeat
        classes = self.s.classes
        for column in (self.mix, self.target, self.service, *self.fit):
            column.extend([1.0] * (len(classes) - len(column)))
        self.count += [0] * (len(classes) - len(self.count))
        for cls, heir in news.replaced_classes:
            start = classes[cls].latency_objective_ms / 4
            known = heir is not None and self.count[heir] > 0
            self.target[cls] = self.target[heir] if known and heir is not None else start
            self.service[cls] = self.service[heir] if known and heir is not None else start
            self.count[cls] = self.count[heir] if heir is not None else 0
            for fit in self.fit:
                fit[cls] = fit[heir] if heir is not None else 1.0
            self.mix[cls] = self.mix[heir] if heir is not None else 1.0 / len(news.live_classes)
            if heir is not None:
                self.mix[heir] = 0.0
            for server in self.servers.values():
                server.lanes.pop(cls, None)
        for cls in range(len(classes)):
            if cls not in news.live_classes:
                self.mix[cls] = 0.0
        self._pace()

    def _effect(self, cls: int) -> Effect:
        return Effect.NOT_IDEMPOTENT if cls in self.once else self.s.classes[cls].effect

    # -- the list

    def _news(self, news: EndpointListUpdate) -> None:
        if news.kind == UpdateKind.FAILED:
            self.watching = False
            self.watch_fails += 1
            part = 0.5 + self.rnd() / 2
            wait = min(AGAIN * 4 ** min(20, self.watch_fails - 1), self.s.poll_within_ms / 2)
            self.watch_from = self.now + part * min(wait, IN_NEED)
            self._watch_after(part * wait)
            return
        self.watch_fails = 0
        self.words.version = news.version
        if news.kind != UpdateKind.CHANGES:
            named = {e.endpoint for e in news.entries}
            for server in [s for s in self.servers.values() if s.eid not in named]:
                self._retire(server)
                del self.servers[server.eid]
        self.floor = min(0.5, FLOOR_SET / max(1, len(self.ready), len(news.entries)))
        for entry in news.entries:
            self._entry(entry)
        ready = self.ready
        self.floor = min(0.5, FLOOR_SET / max(1, len(ready)))
        self.mean_share = sum(s.info.capacity_share for s in ready) / len(ready) if ready else 1.0
        if self.s.caches_by_key:
            self.ring = sorted(((spread(s.eid + (n << 33)), s) for s in ready for n in range(8)), key=lambda e: e[0])
        self._refill()
        if news.kind == UpdateKind.CACHED and self.s.polls_list:
            # A restart wave must not become a stampede on the list service.
            self._watch_after(self.rnd() * self.s.poll_within_ms * 0.3)

    def _watch_after(self, wait_ms: float) -> None:
        """Of several timers that are out only the last one set counts: the list may have failed again meanwhile."""
        self.watch_due = self.now + wait_ms
        self.acts.append(SetTimer(WATCH, wait_ms))

    def _watch(self) -> None:
        if not self.watching:
            self.watching = True
            self.acts.append(WatchEndpointList(True))

    def _fell_short(self) -> None:
        """A request finds no server: where the list is not followed, ask now what has come since.

        Of a list written in the middle of a release half may soon be gone and half be missing, and each
        moment of waiting is paid in refusals: after a start, which waits so that a wave of restarts doesn't
        crowd the list service, and after failed watches, with their growing waits.  Watches break by
        themselves too, just when there is news.  It guards as well against a list that is empty or of another
        day.  It could do harm where the list service fails under its own load while servers are short, so it
        leaves a while after each failure.
        """
        if self.s.polls_list and self.now >= self.watch_from:
            self._watch()

    def _entry(self, entry: Endpoint) -> None:
        server = self.servers.get(entry.endpoint)
        if server is None:
            server = self.servers[entry.endpoint] = Server(entry.endpoint, entry)
        rebooted = entry.started_ms > server.info.started_ms
        server.info = entry
        if entry.state != EndpointState.READY:
            # Nothing new may reach a server that drains or is gone, so it leaves every draw at once.
            self._retire(server)
            if entry.state == EndpointState.REMOVED:
                # Ids are ever new, so what is gone is forgotten; attempts still out hold their own record.
                del self.servers[server.eid]
            return
        if entry.started_ms > 0 and (rebooted or not server.ready):
            # No start that is told now can lie ahead: where it seems to, the wall clock here runs behind, as
            # after a sleep, and the server would count as cold until it has caught up.
            self._chill(server, min(self.now, max(entry.started_ms, server.cold_from)))
            self._back(server)
            server.lanes.clear()
        if not server.ready and self.words.listed(server):
            server.ready = True
            self.ready.append(server)
            self._place(server, self.floor)

    def _chill(self, server: Server, start: float) -> None:
        if server not in self.cold:
            self.cold.append(server)
        server.cold_from, server.warm_at = start, start + self.s.slow_start_ms
        # A random first credit makes many quiet clients add up to the right share.
        server.credit, server.credit_at = self.rnd() - 1.0, self.now

    def _retire(self, server: Server) -> None:
        if server.ready:
            server.ready = False
            self.ready.remove(server)
            self._unplace(server)

    # -- the coins

    def _unplace(self, server: Server) -> None:
        group = self.levels[server.level]
        last = group.pop()
        if last is not server:
            group[server.pos] = last
            last.pos = server.pos
        self.total -= server.c

    def _place(self, server: Server, c: float) -> None:
        server.c = c = min(0.98, max(self.floor, c))
        server.level = min(LEVELS - 1, -frexp(c)[1])
        group = self.levels[server.level]
        server.pos = len(group)
        group.append(server)
        self.total += c

    def _learn(self, server: Server, good: bool) -> None:
        if not server.ready or (good and self.total > SET_MOST):
            return
        self._unplace(server)
        self._place(server, server.c + RAISE * (1 - server.c) if good else server.c * (1 - LOWER))
        if not good:
            self._refill()

    def _refill(self) -> None:
        """A slowdown of the whole fleet must not shrink the sets: what one loses, another gets."""
        ready, price = self.ready, self.s.prices.cross_zone
        for _ in range(4 * FAVOURED):
            if self.total >= min(SET_LEAST, len(ready) / 2):
                return
            server = ready[int(self.rnd() * len(ready))]
            if server.info.zone != self.s.zone and self.rnd() * (1 + 100 * price) > 1:
                continue
            self._unplace(server)
            self._place(server, server.c + 3.0 / FAVOURED)

    def _draw(self) -> list[Server]:
        """Independent coins: in a level, geometric gaps at its largest c, thinned to each one's own c."""
        rnd, drawn = self.rnd, []
        for k, group in enumerate(self.levels):
            n = len(group)
            if not n:
                continue
            if k == 0:
                drawn += [s for s in group if rnd() < s.c]
                continue
            top, gap = 0.5**k, self.gaps[k]
            i = int(log(1.0 - rnd()) / gap)
            while i < n:
                if rnd() * top < group[i].c:
                    drawn.append(group[i])
                i += 1 + int(log(1.0 - rnd()) / gap)
        return drawn

    # -- the choice

    def _score(self, server: Server, cls: int) -> float:
        """Expected time there: aged report plus own work plus one, over speed."""
        now, mean = self.now, self.mean_load
        age = now - server.load_at
        load = mean + (server.load - mean) / (1.0 + age / (4.0 * self.service[cls]))
        fade = 1.0 / (1.0 + (now - server.slow_at) / 10000.0)
        info = server.info
        base = self.service[cls] * self.fit[info.kind][cls] * (1.0 + (server.slow - 1.0) * fade)
        if self.s.capacity_shares_known and info.capacity_share > 0:
            base *= self.mean_share / info.capacity_share
        if info.zone != self.s.zone:
            base *= 1.0 + 20.0 * self.s.prices.cross_zone
        if now - server.used_at > self.s.idle_ms:  # a new connection costs the server work and room
            base *= 1.3 + 8.0 * self.s.prices.handshake
        return (load + server.out + 1.0) * base

    def _usable(self, server: Server, cls: int) -> bool:
        now = self.now
        if server.out_until > now:
            return False
        if server.lanes and (lane := server.lanes.get(cls)) and lane.out_until > now:
            return False
        # A hung server takes work and stays silent: overdue and silent means out, before any time-out.
        if server.out and server.owes and now - server.quiet_at > 3.0 * self.target[cls] + SILENT * self.unit:
            self._strike(server, now)
            return False
        return now >= server.warm_at or self._has_credit(server)

    def _has_credit(self, server: Server) -> bool:
        """An empty cold server would win every draw: it gets a ramp of this client's own mean rate."""
        share, now = self.s.slow_start_share, self.now
        ramp = share + (1 - share) * max(0.0, now - server.cold_from) / max(1.0, self.s.slow_start_ms)
        rate = self.rate / max(1, len(self.ready)) / max(1.0, self.fit[server.info.kind][0])
        server.credit = min(1.0, server.credit + 0.5 * ramp * rate * (now - server.credit_at))
        server.credit_at = now
        return server.credit >= 0.0

    def _pick(self, work: Work) -> Server | None:
        cls, tried = work.cls, [s for s, _, _ in work.sent[work.round :]]
        if work.home:
            return self._pick_home(work, work.home)
        best, least, homes = None, 1e18, self._homes(work.key)
        for server in homes + (self._earned() if self.cold else []) + (self._draw() or self._draw()):
            if server in tried or not self._usable(server, cls):
                continue
            score = self._score(server, cls) * (WARM if server in homes else 1.0) * (1.0 + 1e-6 * self.rnd())
            if server.out and server.owes:
                # Its last report says nothing of a stall that began since.  What it holds and has not
                # answered does, long before a time-out: whatever slows it, no new request will be quicker.
                score = max(score, (server.out + 1.0) * (self.now - server.quiet_at))
            if score < least:
                best, least = server, score
        if best is None and self.ready:
            for _ in range(6):  # empty draw: a random ready server, passing by the ones known to be bad
                server = self.ready[int(self.rnd() * len(self.ready))]
                if self._usable(server, cls) and server not in tried:
                    return server
            if not tried and server.warm_at <= self.now:
                return server
        return best

    def _earned(self) -> list[Server]:
        """A cold server that this client's budget allows a request now; it joins the set that is drawn.

        Left to the coins such a budget is not spent: a server that starts has the least probability of all.
        Where much of a fleet is replaced the warm rest is overrun then, beside new servers that stand idle,
        and these warm up by their work alone.  What all clients may send together is the same as before.  It
        could harm where that is guessed too high, since it is used now; the score still has the last word.
        """
        cold, now, stale = self.cold, self.now, False
        found: list[Server] = []
        n = len(cold)
        first = int(self.rnd() * n)
        for i in range(min(n, LOOKED_AT)):
            server = cold[(first + i) % n]
            if not server.ready or server.warm_at <= now:
                stale = True
            elif server.out_until <= now and self._has_credit(server):
                found.append(server)
                break
        if stale:
            self.cold = [s for s in cold if s.ready and s.warm_at > now]
        return found

    def _homes(self, key: int) -> list[Server]:
        """The servers where every client's requests with this key meet, so that it is warm there."""
        if not key or not self.ring:
            return []
        at = [bisect(self.ring, spread(key + n), key=lambda e: e[0]) % len(self.ring) for n in (0, 1)]
        return [self.ring[i][1] for i in at]

    def _pick_home(self, work: Work, home: Server) -> Server | None:
        """A keyed request that may have run goes only where, and while, its repeat is dropped."""
        settings = self.s.classes[work.cls]
        if self.now >= work.home_at + settings.window_ms - self.s.tick_ms:
            return None
        zone, cell = settings.scope is not DeduplicationScope.ALL, settings.scope is DeduplicationScope.CELL
        picks = [
            s
            for s in self._draw()
            if self._usable(s, work.cls)
            and not (zone and s.info.zone != home.info.zone or cell and s.info.cell != home.info.cell)
        ]
        if picks:
            return min(picks, key=lambda s: self._score(s, work.cls))
        return home if home.ready and home.warm_at <= self.now else None

    # -- requests

    def _request(self, request: Request) -> None:
        now, settings = self.now, self.s.classes[request.class_index]
        # Time alone opens it again too, slowly: a share that lets in almost nothing hears almost nothing.
        self.room = min(ROOM_MOST, self.room * (1.0 + min(1.0, (now - self.room_at) / (200.0 * self.unit))))
        self.room_at = now
        last = now + request.timeout_ms - 2 * self.s.tick_ms
        if settings.late_weight <= 0:  # past the aim nothing is left to win, and failing late costs more
            aim = settings.latency_objective_ms + settings.latency_objective_stretch * request.cost_hint_ms
            last = min(last, now + aim - self.s.tick_ms)
        work = self.work[request.request] = Work(
            request.request, request.class_index, request.affinity_key, now, last + request.upload_timeout_ms
        )
        work.most, work.span = self.s.max_attempts, last - now
        for cls in range(len(self.mix)):
            self.mix[cls] += ((cls == request.class_index) - self.mix[cls]) * 0.02
        if not self._admit(work.cls):
            return self._end(work)
        self.rate += (1.0 / 10000.0) - self.rate * min(1.0, (now - self.rate_at) / 10000.0)
        self.rate_at = now
        self._try(work)

    def _try(self, work: Work) -> None:
        """Send the next attempt, hold the request, or end it."""
        left = work.give_up - self.now
        tries, needed = len(work.sent), self.service[work.cls] / 2
        if left <= 0 or tries >= min(work.most, self.s.max_attempts) or (tries and left < needed):
            return self._end(work)
        if work.maybe_ran and self._effect(work.cls) is Effect.NOT_IDEMPOTENT:
            return self._end(work)  # it was repeatable when it was held
        if tries > work.held:
            work.held = tries
            wait = self._pause(work)
            if wait > 0:
                return self._hold(work, wait)
        if tries and not self._admit(work.cls):  # asked again at each try, so that low worth leaves first
            return self._end(work)
        server = self._pick(work)
        if server is None:
            if work.home:
                return self._end(work)
            self._fell_short()
            # It has been to all that take work: after a wait for a free place it may ask them again.
            work.round = tries
            return self._hold(work, self.service[work.cls])
        self._send(work, server)

    def _admit(self, cls: int) -> bool:
        """In overload late answers crowd out the rest: let in a share of what is asked, best worth first."""
        if self.room >= 1.0:
            return True
        value = [c.priority_weight / max(1.0, t) for c, t in zip(self.s.classes, self.service, strict=True)]
        above = sum(m for m, v in zip(self.mix, value, strict=True) if v > value[cls])
        return above + self.rnd() * self.mix[cls] < self.room

    def _found_room(self, served: bool, in_vain: float = 0.0) -> None:
        """Move the share let in by what became of an attempt.

        Only attempts that reached a server at work count: served in time, or turned away or late.  It settles
        where a part of them finds no place: short queues have room again a moment later, so with fewer
        turned away servers stand idle, and with more the best worth is crowded out.  That part is the larger
        the narrower the door.  Were it the same at any width, doors of a fleet would drift apart: what is
        turned away is the doing of all, so each would wander alone between its bounds, here shut to the best
        worth and there open to the least.  What is refused here and asked again by the client must not count:
        that would shut the door on itself, ever more with each repeat.  Nor must what a dead, cut off or
        stalled server lost, for which the others have room.  This should hold whatever made room short.  It
        could harm where turning away costs a server about as much as serving, and where a few servers that
        turn all away draw most attempts.

        Where servers have long queues they turn nothing away, and time runs out everywhere.  What was given up
        still fills them, so each such attempt cost a server its work and served nobody: it weighs IN_VAIN, and the
        door settles where one in six to three does.  Weighed like a turning away the door stayed open until the
        queues held seconds of work that nobody waited for, and opened again at the first answers.  It could harm
        where much of a fleet falls silent at once while the others have room: each of these counts once.
        """
        part = TURNED_AWAY + NARROWER * max(0.0, 1.0 - self.room)
        step = PACE * (part if served else -in_vain or part - 1.0)
        self.room = min(ROOM_MOST, max(ROOM_LEAST, self.room + step * max(0.25, self.room)))

    def _all_late(self) -> float:
        """How far time runs out everywhere, 0 to 1: at over LATE of the attempts, and at half of SOME servers.

        The attempts alone would tell the same of one server that hangs and draws them.  A client of a large fleet
        that waited for half of all servers would know after seconds, when their queues hold as much in vain.
        """
        if self.late <= LATE or sum(s.late for s in self.ready) * 2 <= min(SOME, len(self.ready)):
            return 0.0
        return (self.late - LATE) / (1.0 - LATE)

    def _pause(self, work: Work) -> float:
        """Where most servers turn work away, the last tries wait for a place to come free.

        The first AT_ONCE do not: one server that is full says little of sixty, and a wait that grows from the
        first try on spends the whole time of what is worth most in a few tries.  It could harm where turning
        away costs a server about as much as serving.
        """
        tries = len(work.sent)
        if tries < AT_ONCE:
            return 0.0
        worth = max(0.25, self.s.classes[work.cls].priority_weight / self.most_worth)
        return float(self.full * self.service[work.cls] * 2.0 ** (tries - AT_ONCE) / worth**0.5)

    def _hold(self, work: Work, wait: float) -> None:
        """Wait for another attempt; where none would be possible after the wait, this is giving up, at once.

        The client can use the time that is left, and a request held to its end only keeps it from doing so.
        """
        wait = (0.5 + self.rnd()) * max(wait, 2 * self.s.tick_ms)
        if wait >= work.give_up - self.now - (self.service[work.cls] / 2 if work.sent else 0.0):
            return self._end(work)
        self.acts.append(SetTimer(work.rid + HOLD, wait))

    def _send(self, work: Work, server: Server) -> None:
        now = self.now
        expires = work.give_up
        if self._effect(work.cls) is not Effect.NOT_IDEMPOTENT and len(work.sent) + 1 < min(
            work.most, self.s.max_attempts
        ):
            # Where servers are full, a wait is their queue's and no silence: to give up there and ask
            # elsewhere is to do the work twice, and a fleet of clients that do so has the least room when it
            # needs most.  The same holds where time runs out at most servers: they are late, not hung.  It guards
            # against retry storms, whatever made room short.  It could harm where one server hangs while others
            # are full: what it holds then waits longer for another attempt.
            patience = max(0.45 * (work.give_up - now), 3.0 * self.target[work.cls])
            expires = min(expires, now + patience * (1.0 + QUEUED * (self.full + self._all_late())))
        load = self._score(server, work.cls) / (self.service[work.cls] * self.fit[server.info.kind][work.cls])
        if not (server.out and server.owes):
            server.owes, server.quiet_at = True, now
        server.out += 1
        if server.strikes:  # one at a time until it answers
            server.out_until = max(server.out_until, expires)
        if (lane := server.lanes.get(work.cls)) and lane.misses > 1:
            lane.out_until = max(lane.out_until, expires)
        if now < server.warm_at:
            server.credit -= 1.0
        work.sent.append((server, now, max(0.2, load)))
        work.out += 1
        self.acts.append(Send(work.rid, server.eid, expires, work.give_up))
        if self.s.reports_pulled and self.s.may_probe and self.rnd() < 0.2 and (drawn := self._draw()):
            self.acts.append(HealthCheck(min(drawn, key=lambda s: s.load_at).eid))

    def _end(self, work: Work) -> None:
        """The final answer: a refusal only where a repeat does no harm, a failure otherwise."""
        self._fell_short()
        effect, scope = self._effect(work.cls), self.s.classes[work.cls].scope
        harmless = (
            not (work.maybe_ran or work.out)
            or effect is Effect.IDEMPOTENT
            or (effect is Effect.KEYED and scope is DeduplicationScope.ALL)
        )
        self.acts.append(Reject(work.rid, self._come_back(work)) if harmless else Fail(work.rid))
        self._forget(work)

    def _come_back(self, work: Work) -> float:
        """When a refused client may find room: the longer the fuller the servers are, and not all at once."""
        wait = (0.5 + self.rnd()) * (0.25 + self.full) * self.unit * 2 ** min(3, len(work.sent))
        return float(min(wait, self.s.max_retry_after_ms))

    def _forget(self, work: Work) -> None:
        work.ended = True
        if not work.out:
            self.work.pop(work.rid, None)

    def _timer(self, event: TimerFired) -> None:
        if event.token == WATCH:
            return self._watch() if self.now >= self.watch_due - self.s.tick_ms else None
        if event.token == FELLOWS:
            return faded(self)
        work = self.work.get(event.token - HOLD)
        if work and not work.out:
            self._try(work)

    def _uploaded(self, event: UploadCompleted) -> None:
        if work := self.work.get(event.request):
            work.began, work.give_up = self.now, self.now + work.span

    def _woke(self, event: ProcessResumed) -> None:
        """What was out while we stood still could not be heard: neither its time nor its silence counts.

        It guards against a machine that was paused, then takes its whole fleet for hung and shuts its door.
        It would spare a server that fell silent in just that time, until the next request to it is overdue.
        """
        self.woke_at = self.now
        for server in self.servers.values():
            server.quiet_at = self.now

    def _departed(self, event: ClientDisconnected) -> None:
        work = self.work.get(event.request)
        if work:
            self._forget(work)

    def _began(self, event: ResponseStarted) -> None:
        work = self.work.get(event.request)
        if work and event.attempt < len(work.sent):
            self._answered(work.sent[event.attempt][0])

    # -- outcomes

    def _ended(self, event: AttemptEnded) -> None:
        work = self.work.get(event.request)
        if work is None or event.attempt >= len(work.sent):
            return
        server, sent_at, load = work.sent[event.attempt]
        server.out = max(0, server.out - 1)
        work.out -= 1
        server.used_at = self.now
        if not server.out and self.rate * self.s.idle_ms * server.c < 1.0:
            # Tables of connections fill up with strays that nobody uses again: give them back.
            server.used_at = -1e12
            self.acts.append(CloseIdleConnections(server.eid))
        self._feedback(server, work, event, sent_at, load)
        if event.closed or work.ended:
            self._forget(work)
            return
        if event.outcome not in NEVER_RAN:
            work.maybe_ran = True
            effect = self._effect(work.cls)
            if effect is Effect.NOT_IDEMPOTENT:
                self._end(work)
                return
            if effect is Effect.KEYED and work.home is None:
                work.home, work.home_at = server, sent_at
        if not work.out:
            self._try(work)

    def _feedback(self, server: Server, work: Work, event: AttemptEnded, sent_at: float, load: float) -> None:
        cls, outcome, elapsed = work.cls, event.outcome, event.elapsed_ms
        if sent_at < self.woke_at:
            if outcome in (Outcome.OK, Outcome.REJECTED):
                self._answered(server)
            return
        if outcome in (Outcome.OK, Outcome.REJECTED):
            self._found_room(
                outcome is Outcome.OK and self.now - work.began <= self.s.classes[cls].latency_objective_ms
            )
        self.full += ((outcome is Outcome.REJECTED) - self.full) * 0.05
        was_late = server.late
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT):
            self.late += ((outcome is Outcome.TIMEOUT) - self.late) * 0.05
            server.late = outcome is Outcome.TIMEOUT
        if event.report:
            self._report(server, event.report)
        if outcome in (Outcome.OK, Outcome.REJECTED):
            self._answered(server)
        if outcome is Outcome.OK:
            server.served_sent = max(server.served_sent, sent_at)
            if (lane := server.lanes.get(cls)) and sent_at >= lane.sent_at:
                del server.lanes[cls]
            self._learn(server, elapsed <= self.target[cls])
            self._measure(server, cls, elapsed, load)
            if self.now < server.warm_at:
                # What it has answered it had room for, so the next may take that place, whatever the ramp
                # says: answers come no faster than it can work.  What it turns away or leaves gives nothing
                # back.  It guards as well against a ramp guessed too low; it would lag behind a server whose
                # capacity falls again.
                server.credit = max(server.credit, 0.0)
        elif outcome is Outcome.REJECTED:
            server.load, server.load_at = max(server.load, self.mean_load + 2.0), self.now
            if self.rnd() >= self.full:  # where all are full, being full says little about this one
                self._learn(server, False)
        elif outcome is Outcome.ERROR:  # quick errors look light and would draw more
            server.slow, server.slow_at = min(20.0, server.slow + 1.0), self.now
            self._learn(server, False)
            self._miss(server, cls, sent_at)
        elif outcome in BROKE and self.now - server.heard_at < HEARD * self.unit:
            # It answers on other connections, so one that broke says nothing of the server: networks, limits
            # and stale connections break them too.  One that has died is silent from here on and is found
            # out a moment later; until then a few more attempts may be lost on it.
            return
        elif outcome is Outcome.TIMEOUT and server.served_sent > sent_at:
            self._miss(server, cls, sent_at)
        elif outcome in (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET):
            server.dead = outcome is Outcome.CONNECT_FAILED
            if outcome is Outcome.TIMEOUT and (not was_late or self._all_late()):
                self._found_room(False, IN_VAIN)  # one that hangs counts once; of one that is slow, each time anew
            elif outcome is Outcome.TIMEOUT and server.heard_at >= sent_at:
                self._found_room(False)  # it serves others: too much for it, no stall
            self._strike(server, sent_at)

    def _miss(self, server: Server, cls: int, sent_at: float) -> None:
        """An attempt failed on a server that works: it served what was sent later, or answered with an error.

        One alone is lost or stuck and says nothing of the server.  Where a second of its class fails before
        one is served, that class is left out there for a while that doubles, then tried one at a time; the
        others go on.  It guards against answers that never come, whoever drops them, and a server that can't
        do one kind of work: a store it can't reach, a release that broke a path.  It could harm where a few
        requests of a class fail wherever they go: they bar it for a moment on each server they come to.
        """
        lane = server.lanes.setdefault(cls, Lane())
        if sent_at < lane.barred_at:
            return  # it was out there already when the class was barred
        lane.misses, lane.sent_at = lane.misses + 1, max(lane.sent_at, sent_at)
        if lane.misses > 1:
            lane.barred_at = self.now
            lane.out_until = self.now + self.unit * 2 ** min(4, lane.misses - 1) * (0.5 + self.rnd())

    def _measure(self, server: Server, cls: int, elapsed: float, load: float) -> None:
        kind = server.info.kind
        sample = elapsed / load
        self.count[cls] += 1
        pace = max(0.03, 1.0 / self.count[cls])
        self.target[cls] += (elapsed - self.target[cls]) * pace
        self.service[cls] = max(1.0, self.service[cls] + (sample - self.service[cls]) * pace)
        fit = self.fit[kind]
        ratio = min(10.0, sample / self.service[cls])
        fit[cls] += (ratio - fit[cls]) * 0.03
        server.slow = max(0.2, server.slow + (min(10.0, ratio / fit[cls]) - server.slow) * 0.15)
        server.slow_at = self.now

    def _report(self, server: Server, report: tuple[float, ...]) -> None:
        if 0 <= self.field < len(report):
            server.load, server.load_at = report[self.field], self.now
            self.mean_load += (server.load - self.mean_load) * 0.05

    def _answered(self, server: Server) -> None:
        server.owes, server.heard_at = False, self.now
        # A client with few requests has tried it once or twice in that time; long is as good as often.
        if (
            server.strikes
            and server.dead
            and self.now >= server.warm_at
            and (server.strikes > 2 or self.now - server.down_at > DOWN * self.unit)
        ):
            self._chill(server, self.now)  # back from the dead, maybe cold, before the list says so
        self._back(server)

    def _back(self, server: Server) -> None:
        """What failed there is over."""
        server.strikes, server.dead, server.out_until = 0, False, 0.0

    def _strike(self, server: Server, sent_at: float) -> None:
        """No answer: out of the draws for a while that doubles, then one trial at a time.

        A silence strikes once.  What was out there when it began says nothing new, and counting each of those
        attempts would put a server that paused for a moment under full load out for as long as a dead one.
        """
        server.quiet_at = self.now
        if sent_at < server.struck_at:
            return
        if not server.strikes:
            server.down_at = self.now
        server.strikes, server.struck_at = server.strikes + 1, self.now
        server.out_until = self.now + self.unit * 2 ** min(4, server.strikes) * (0.5 + self.rnd())
        self._learn(server, False)

    def _probed(self, event: HealthCheckEnded) -> None:
        server = self.servers.get(event.endpoint)
        if server is not None and event.outcome is Outcome.OK and event.report:
            self._report(server, event.report)


HANDLERS: dict[type, Callable[..., None]] = {
    EndpointListUpdate: Balancer._news,
    Request: Balancer._request,
    AttemptEnded: Balancer._ended,
    TimerFired: Balancer._timer,
    ClientDisconnected: Balancer._departed,
    ResponseStarted: Balancer._began,
    HealthCheckEnded: Balancer._probed,
    SettingsChanged: Balancer._retuned,
    UploadCompleted: Balancer._uploaded,
    ProcessResumed: Balancer._woke,
    GossipHint: warned,
}
