"""The decisions of zincladder. Its types, events and actions stand in `zincladder/routing/interface.py`.

The ordinary path: MD5 picks a part's edge cache on a ring over the location's caches, and its object's fill
source on one over all listed parents; copies have one rank. All else acts only on what this router has seen.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from hashlib import md5
from random import Random
from statistics import median_low

from zincladder.routing import capacity, overload, throttle
from zincladder.routing import interface as api
from zincladder.routing.purges import Purges
from zincladder.routing.retry import NEVER_RAN

POINTS = 16  # virtual nodes for each transfer that a member's link fits: shares follow links within a tenth
POINTS_EVEN = 128  # where no weights are listed; the paper's 4 leave some members twice the share of others
SPILL = 0.75  # of a cache's link in use, as this router sees it: past it an object goes on to the next point
UNEVEN = 1.5  # and only past so many times its neighbours' mean: slow fills crowd all caches alike
CRAWL = 4.0  # times its neighbours' pace: past it a cache is slow by itself, and so are its fills
PROMPT = 1.0  # of a class's base aim that a strain may add to a request's sending; past it, it is refused
LINK_FULL = 2.5  # transfers on the location's link over those at full pace; fills then crawl past the aim
PARENT_PART = 0.2  # a parent's link, of the pooled links of the caches behind it: the least likely
TRIES = 4  # attempts of one request: enough for a few dead members, too few to feed an overload
ERRORS = 2  # after so many a request cannot be used anywhere: members' own errors are rare
KEEP = 1  # the one rank of all kept copies: with a single rank every cache is a plain LRU
MEMORY = 0.3  # weight of the newest outcome in a member's failing share
DOUBT = 0.1  # by which one member's failing share passes another's to tell which of both it was
OFF_AT = 0.6  # failing share that takes a member off: three silences in a row, or most of many
OFF_PART = 0.5  # of a ring that judgement may set aside: a fault of the location must not empty it
TRIAL = 2.0  # seconds between trial requests: each may cost one request its patience
PATIENCE = 1.5  # of a class's base aim: a cache that says nothing at all for longer is silent
STRETCH = 3.0  # times the sending time on top: answers share links, and fills come before them
YOUNGEST = 1e-3  # the wire reads an age of 0 as the default, so the least age is a millisecond
NEAR_LEAST = 0.1  # of what a neighbour may hold, asked of it even where it held nothing lately
RECENT = 0.02  # weight of the newest pace where sizes are not told
PROBE_EVERY = 0.5  # seconds between probes where load is told by probes only
PROBING = (-1, 0)  # the timer of the probes

SOURCE_FAULTS = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.SOURCE_FAILED)
FILLS = (api.FillOutcome.FILLED, api.FillOutcome.FILLED_VIA_ORIGIN)
BLAMES_SOURCE = (*SOURCE_FAULTS, api.FillOutcome.SOURCE_MISS, api.FillOutcome.ORIGIN_FAILED)
OWN_FAULT = (
    api.AttemptOutcome.ERROR,
    api.AttemptOutcome.RESET,
)  # the request's, or its connection's: not the member's


def point(data: bytes) -> int:
    """A place on the MD5 range."""
    return int.from_bytes(md5(data, usedforsecurity=False).digest(), "big")


class Ring:
    """A consistent-hash ring; the same members give the same ring at every router."""

    def __init__(self, points: dict[api.EndpointId, int]) -> None:
        nodes = sorted((point(i + n.to_bytes(4, "big")), i) for i in points for n in range(points[i]))
        self.places = [place for place, _ in nodes]
        self.owners = [owner for _, owner in nodes]
        self.ids = points.keys()

    def walk(self, place: int) -> Iterator[api.EndpointId]:
        """The members from the object's own on, going down the range, each once."""
        start = bisect_right(self.places, place) - 1
        met: api.EndpointIds = set()
        for step in range(len(self.owners)):
            owner = self.owners[start - step]
            if owner not in met:
                met.add(owner)
                yield owner


@dataclass(slots=True)
class Seen:
    """What this router knows of one member."""

    endpoint: api.Endpoint
    heard_at: float
    failing: float = 0.0  # share of failures, lately
    out: int = 0  # attempts of this router that it holds
    slow: float = 0.0  # how much longer than the sending time its hits, or fills from it, take lately
    off: bool = False
    prompt: bool = False  # its last failure came at once: where nothing else is left, some of its fills come
    trial_at: float = 0.0
    cold: overload.ColdBudget | None = None  # while it warms up


@dataclass(slots=True)
class Attempt:
    """One attempt that is out."""

    job: Job
    cache: api.EndpointId
    source: api.EndpointId
    sent_at: float
    checked_at: float
    slow: bool = False  # counted as a strained fill


@dataclass(slots=True)
class Job:
    """A request that is owed its answer."""

    request: api.Request
    request_class: api.RequestClass
    work: float  # its sending time
    home: int  # place on the cache ring of the part: parts are kept each by itself, so each has its home
    origin: int  # place on the parent ring of the object: all its fills meet at one parent
    most: int  # attempts that it may have
    sends: int = 0
    out: set[int] = field(default_factory=set)  # numbers of its attempts
    tried: api.EndpointIds = field(default_factory=set)
    joins: bool = False  # a fill of what is wanted is under way at the cache
    stale: bool = False  # the origin failed: a copy past its fresh time will do, where the class allows it
    may_have_run: list[float] = field(default_factory=list)  # when those attempts were sent
    spoilt: api.EndpointIds = field(default_factory=set)  # whose answer was cut off once
    errors: int = 0
    last: api.AttemptOutcome | None = None  # how its newest attempt ended
    cached_only: bool = False  # the newest attempt takes only what is held: the origin is spared


class Router:
    """Decides for one router. Give it every event in order; carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._retune(api.SettingsChanged(settings, (-1,) * len(settings.classes)))
        self.random = Random(seed)
        self.retries = overload.RetryBudget()
        self.seen: dict[api.EndpointId, Seen] = {}
        self.caches, self.parents = Ring({}), Ring({})
        self.origin: api.EndpointId | None = None
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, tuple[int, int]] = {}
        self.tokens = 0
        self.purges = Purges()
        self.out_there, self.weight_there = 0, 1.0  # attempts out at the location's caches; their weights
        self.cores = capacity.CoresEstimate()  # of one cache, where weights are not listed
        self.spare = overload.OriginBudget()  # fills from the origin beside parents of which none is fit
        self.near = 1.0  # share of what was asked of a neighbour that it held, lately
        self.probing = False  # whether the round of probes goes on
        self.usual, self.link = 1.0, 0.0  # the median pace of the caches' hits; how full their link in is
        self.out: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """The actions that answer one event."""
        self.out = []
        if not self.probing and self.settings.probes and self.settings.load_by_health_check:
            self._probe()  # the first event under such settings starts the round of probes
        match event:
            case api.Request():
                self._arrived(event, now)
            case api.AttemptEnded():
                self._ended(event, now)
            case api.TimerFired():
                self._timer(event.token, now)
            case api.EndpointUpdate():
                self._listed(event, now)
            case api.Purged():
                self.purges.told(event.object, event.group, now - event.age, now, self.settings.purge_done)
            case api.ClientDisconnected():
                self._over(event.request)
            case api.ProbeEnded():
                self._report(event.endpoint, event.report)
            case api.SettingsChanged():
                self._retune(event)
        return self.out

    def ejected_count(self) -> int:
        """The number of caches of this location that are ejected at present."""
        return sum(self.seen[i].off for i in self.caches.ids)

    def _retune(self, event: api.SettingsChanged) -> None:
        """Open requests hold their class and attempts; what was learned of a class that stays is kept."""
        self.settings = s = event.settings
        works = [replace(self.works[i]) if i >= 0 else capacity.WorkEstimate() for i in event.learned]
        self.works: list[capacity.WorkEstimate] = works
        self.throttle = throttle.SourceThrottles(
            max((request_class.timeout for request_class in s.classes), default=0.0)
        )
        self.zone_routers = max(1, *s.routers_by_zone[s.zone : s.zone + 1], 1)

    # The list ---------------------------------------------------------------------------------

    def _listed(self, event: api.EndpointUpdate, now: float) -> None:
        if self.settings.must_subscribe and event.kind in (api.UpdateKind.CACHED, api.UpdateKind.FAILED):
            self.out.append(api.Subscribe())
        if event.kind is api.UpdateKind.FAILED:
            return
        if event.kind is not api.UpdateKind.DELTA:
            named = {m.id for m in event.endpoints}
            self.seen = {i: seen for i, seen in self.seen.items() if i in named}
        for endpoint in event.endpoints:
            old = self.seen.get(endpoint.id)
            if endpoint.state is api.EndpointState.GONE:
                self.seen.pop(endpoint.id, None)
            elif (
                old
                and old.endpoint.started_at == endpoint.started_at
                and old.endpoint.state <= endpoint.state
            ):
                old.endpoint = endpoint
            else:  # new, started anew, or ready again after draining: judged afresh
                self.seen[endpoint.id] = Seen(endpoint, now, out=old.out if old else 0)
        s, now_listed = self.settings, [seen.endpoint for seen in self.seen.values()]
        self.throttle.keep_only(self.seen)
        parents = {m.id for m in now_listed if m.kind == s.parent_kind}
        origins = {m.id: m.state is api.EndpointState.READY for m in now_listed if m.kind == s.origin_kind}
        self.origin = min((i for i, ready in origins.items() if ready), default=None)
        caches = {m.id for m in now_listed if m.zone == s.zone} - parents - origins.keys()
        self.out_there = sum(self.seen[i].out for i in sorted(caches))
        if caches != self.caches.ids:
            self.caches = self._ring(caches)
            self.weight_there = max(1.0, sum(self.seen[i].endpoint.weight for i in sorted(caches)))
        if parents != self.parents.ids:
            self.parents = self._ring(parents)

    def _ring(self, ids: api.EndpointIds) -> Ring:
        """Points follow a member's own listed weight and nothing else, so others' arcs stay put."""
        if not self.settings.weights_known:
            return Ring(dict.fromkeys(sorted(ids), POINTS_EVEN))
        return Ring({i: max(1, round(POINTS * self.seen[i].endpoint.weight)) for i in sorted(ids)})

    # Choosing ---------------------------------------------------------------------------------

    def _room(self, seen: Seen, work: float, now: float) -> bool:
        """Guards rule 4: whether a member that started lately can take this work from this router."""
        m, s = seen.endpoint, self.settings
        kin = (
            (s.parent_slow_start, s.routers)
            if m.kind == s.parent_kind
            else (s.cache_slow_start, self.zone_routers)
        )
        age = now - m.started_at
        if m.started_at <= 0 or age >= kin[0].duration or m.kind == s.origin_kind:
            return True
        if seen.cold is None:
            seen.cold = overload.ColdBudget(self.random.random() * max(w.mean for w in self.works), now)
        return seen.cold.room(kin[0], kin[1], self._weight(m), work, age, now)

    def _weight(self, endpoint: api.Endpoint) -> float:
        """The transfers that a member's link fits, as listed or judged from what warm caches report."""
        s = self.settings
        if s.weights_known:
            return endpoint.weight
        if endpoint.kind != s.parent_kind:
            return self.cores.value
        behind = len(self.caches.ids) * sum(n > 0 for n in s.routers_by_zone) / max(1, len(self.parents.ids))
        return max(1.0, PARENT_PART * self.cores.value * behind)

    def _pick(self, ring: Ring, job: Job, work: float, now: float) -> Seen | None:
        """The first member on the object's walk that may be asked; a trial is taken where one is due."""
        spare, last, least = None, None, 0.0
        bound = max(SPILL, UNEVEN * self._mean_crowd())
        for i in ring.walk(job.home if ring is self.caches else job.origin):
            seen = self.seen[i]
            crowd, away = self._crowd(seen), seen.off and now < seen.trial_at
            crawls = seen.slow > CRAWL * self.usual and ring is self.caches and job.request.size_kb > 0
            lost = seen.endpoint.state is not api.EndpointState.READY or self._late(
                job, max(crowd, crawls * seen.slow)
            )
            if lost or not self._room(seen, work, now):
                continue
            if away or i in job.tried:
                last = last or (seen if seen.prompt and not (self.spare.left() and self.origin) else None)
            elif crowd < bound and self.throttle.keeps(i, now, self.random.random):
                seen.trial_at = now + TRIAL
                return seen
            elif spare is None or crowd < least:
                spare, least = seen, crowd
        return spare or last

    def _neighbour(self, cache: Seen, home: int, now: float) -> Seen | None:
        """The cache that likely holds the object where the chosen one does not: after a spill or a return."""
        if self.settings.peer_fill is api.PeerFill.OFF or self.random.random() > self.near:
            return None
        walk = self.caches.walk(home)
        first = self.seen[next(walk)]
        if first is cache:
            started, i = cache.endpoint.started_at, next(walk, None)
            if i is None or started <= 0 or now - started > self.settings.cache_slow_start.duration:
                return None
            first = self.seen[i]
        fit = first.endpoint.state is api.EndpointState.READY and not first.off
        return first if fit and self._room(first, 0.0, now) else None

    def _crowd(self, seen: Seen) -> float:
        """The part of a cache's link in use; other routers count as this one's mean over the caches."""
        if seen.endpoint.id not in self.caches.ids or not self._sized():
            return 0.0
        own = seen.out / max(self._weight(seen.endpoint), 1.0)  # times the routers it would be chance
        return own + self._mean_crowd() * (self.zone_routers - 1) / self.zone_routers

    def _sized(self) -> bool:
        """Whether the caches' links are known: listed, or told of by some reports."""
        return self.settings.weights_known or self.cores.is_known()

    def _mean_crowd(self) -> float:
        if not self._sized():
            return 0.0  # a router that has just started would refuse what a lost cache leaves over
        listed, judged = self.settings.weights_known, self.cores.value * max(1, len(self.caches.ids))
        return self.out_there * self.zone_routers / (self.weight_there if listed else judged)

    def _count(self, seen: Seen, change: int) -> None:
        seen.out += change
        self.out_there += change * (seen.endpoint.id in self.caches.ids)

    def _max_age(self, job: Job, now: float) -> float:
        """Guards rule 5: the oldest copy that will do; 0 for the class's own fresh time."""
        limit = job.request_class.fresh_seconds + (
            job.request_class.stale_if_error_seconds if job.stale else 0.0
        )
        age = self.purges.age(job.request.object, job.request.group, now)
        if age > self.settings.purge_done:
            return limit if job.stale else 0.0
        return max(YOUNGEST, min(age, limit or float("inf")))

    def _allowed(self, job: Job, now: float) -> bool:
        """Guards rule 2: whether this request may be sent (again)."""
        if job.request_class.idempotency is api.Idempotency.IDEMPOTENT or not job.may_have_run:
            return True
        dropped = (
            job.request_class.idempotency is api.Idempotency.WITH_KEY
            and job.request_class.scope is api.Scope.ALL
        )  # else never
        return dropped and now < job.may_have_run[0] + job.request_class.deduplication_window

    def _arrived(self, request: api.Request, now: float) -> None:
        request_class, pace = self.settings.classes[request.request_class], self.settings.client_kb_per_s
        self.spare.earn()
        known, works = request.size_kb > 0 and pace > 0, self.works[request.request_class]
        work = (
            works.sized(request.size_kb / pace) if known else works.unsized(request_class.latency_objective)
        )
        name = request.object.to_bytes(8, "big")
        home = point(name + request.part.to_bytes(4, "big")) if request.part else point(name)
        job = self.jobs[request.id] = Job(
            request, request_class, work, home, point(name), self.settings.max_attempts
        )
        if not request_class.uncacheable and overload.hopeless(
            request.deadline - now, work, request_class.timeout
        ):
            return self._give_up(job)
        self._place(job, now)

    def _place(self, job: Job, now: float) -> None:
        """Sends the next attempt of a request, or gives its final answer."""
        s, request = self.settings, job.request
        if job.sends >= min(TRIES, job.most) or now >= request.deadline:
            return self._give_up(job)
        origin = self.seen.get(self.origin) if self.origin else None
        cache = self._pick(self.caches, job, self.works[request.request_class].mean, now)
        # Guards the origin, which alone runs writes: where parents fail, all routers would fall back on it.
        spare = origin if self.spare.left() or not self.parents.ids else None
        source = (
            origin if job.request_class.uncacheable else self._pick(self.parents, job, job.work, now) or spare
        )
        pace = source.slow if source and request.size_kb > 0 else 0.0  # untold, it tells of sizes alone
        late = self._late(job, max(self.link / LINK_FULL, pace))
        if job.request_class.uncacheable:
            cache = origin if s.may_bypass_caches else cache
        elif cache and job.stale:
            source = cache
        elif cache:
            late = late or source is None  # then a copy will do, and nothing else
            near = self._neighbour(cache, job.home, now) or (cache if late else None)
            if near and job.sends == 0:
                source = near
            elif late and not job.joins:
                return self._give_up(job)
        if cache is None and s.may_bypass_caches and not late and not self._late(job, self._mean_crowd()):
            cache, source = source, source and (origin or source)  # no cache is fit: straight to the source
        if cache is None or source is None or not self._allowed(job, now):
            return self._give_up(job)
        past = source is origin and self.parents.ids and cache.endpoint.kind != s.parent_kind
        bounded = past or source.endpoint.id in self.caches.ids  # by its own budget, or as nothing is filled
        if not (bounded or self.retries.spend(job.last)):
            return self._give_up(job)
        withheld = not (job.request_class.uncacheable or bounded)
        job.cached_only = withheld and self.random.random() > self.throttle.admitted(now)
        source = cache if job.cached_only and source is origin else source
        self._send(job, cache, source, now)

    def _late(self, job: Job, strain: float) -> bool:
        """Whether a request is refused, as what it needs is strained (1: full pace); large ones go first."""
        return (strain - 1) * job.work > PROMPT * job.request_class.latency_objective

    def _send(self, job: Job, target: Seen, source: Seen, now: float) -> None:
        s, request, endpoint = self.settings, job.request, target.endpoint
        job.out.add(job.sends)
        self.attempts[request.id, job.sends] = Attempt(job, endpoint.id, source.endpoint.id, now, now)
        self._count(target, 1)
        if (
            source.endpoint.id == self.origin
            and endpoint.kind != s.parent_kind
            and not job.request_class.uncacheable
        ):
            self.spare.spend()
        for seen in (target,) if target is source else (target, source):
            weight = (
                job.work if seen.endpoint.kind == s.parent_kind else self.works[request.request_class].mean
            )
            if seen.cold:
                seen.cold.debt += weight
        if endpoint.kind == s.origin_kind:
            self.out.append(api.Lookup(request.id, endpoint.id))
        else:
            keep = 0 if endpoint.kind == s.parent_kind or job.request_class.uncacheable else KEEP
            join = (
                s.coalesces_fills and not job.tried & self.parents.ids
            )  # else it may join a fill that hangs
            age = self._max_age(job, now)
            held = job.cached_only and source.endpoint.kind == s.parent_kind and source is not target
            self.out.append(api.Fetch(request.id, endpoint.id, source.endpoint.id, keep, age, join, held))
        self._watch(job, job.sends)
        job.sends += 1

    def _watch(self, job: Job, number: int) -> None:
        self._set_timer(
            PATIENCE * job.request_class.latency_objective + STRETCH * job.work, (job.request.id, number)
        )

    def _set_timer(self, delay: float, what: tuple[int, int]) -> None:
        self.tokens += 1
        self.timers[self.tokens] = what
        self.out.append(api.SetTimer(delay, self.tokens))

    def _give_up(self, job: Job) -> None:
        """The final answer, at once: a refusal where a repeat is harmless, else a failure."""
        request_class, s = job.request_class, self.settings
        dropped = (
            request_class.idempotency is api.Idempotency.WITH_KEY and request_class.scope is api.Scope.ALL
        )
        harmless = request_class.idempotency is api.Idempotency.IDEMPOTENT or dropped or not job.may_have_run
        refusal = api.Reject(
            job.request.id, min(s.max_retry_after, request_class.latency_objective)
        )  # a strain is over by then
        self.out.append(refusal if harmless else api.Fail(job.request.id))
        self._over(job.request.id)

    def _over(self, request: int) -> None:
        job = self.jobs.pop(request, None)
        if job and self.settings.may_cancel:
            self.out.extend(api.Cancel(request, n) for n in sorted(job.out))

    # Learning ---------------------------------------------------------------------------------

    def _ended(self, event: api.AttemptEnded, now: float) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        blamed = self._blamed(event, attempt) if attempt else set()
        if attempt:
            self._judge(event, attempt, blamed, now)
        job = self.jobs.pop(event.request, None) if event.closed else self.jobs.get(event.request)
        if job is None or event.closed:
            return
        job.out.discard(event.attempt)
        job.last = event.outcome
        if attempt:
            if event.outcome not in NEVER_RAN:
                job.may_have_run.append(attempt.sent_at)
            job.joins = (
                event.outcome is api.AttemptOutcome.MISS and event.fill_outcome is api.FillOutcome.COALESCED
            )
            looked = event.outcome is api.AttemptOutcome.MISS and attempt.source == attempt.cache
            # Guards what is kept: connections are lost at any cache alike, so its own is asked once more.
            cut = event.outcome is api.AttemptOutcome.RESET and not blamed <= job.spoilt
            job.spoilt |= blamed if cut else set()
            if not looked and not cut and not job.request_class.uncacheable:
                job.tried |= blamed
            lacked = job.cached_only and event.outcome is api.AttemptOutcome.MISS and not job.joins
            job.errors += (
                event.outcome is api.AttemptOutcome.ERROR and event.fill_outcome not in BLAMES_SOURCE
            )
            if lacked or job.errors >= ERRORS:
                return self._give_up(job)
            # Guards the origin: another parent would ask the same origin, so only a stale copy is tried.
            refused = event.outcome is api.AttemptOutcome.REJECTED
            own = (event.fill_outcome in SOURCE_FAULTS or refused) and blamed == {self.origin} != {
                attempt.cache
            }
            lost = own or event.fill_outcome is api.FillOutcome.ORIGIN_FAILED
            if job.stale or (lost and not job.request_class.stale_if_error_seconds):
                return self._give_up(job)
            job.stale = lost
        if not job.out:
            self._give_up(job) if event.outcome is api.AttemptOutcome.NOT_SENT else self._place(job, now)

    def _report(self, endpoint: api.EndpointId, report: tuple[float, ...]) -> None:
        names = self.settings.report_names
        if len(report) != len(names) or endpoint not in self.caches.ids:
            return
        told = dict(zip(names, report, strict=True))
        self.link = told.get("link", self.link)
        if "busy" in told and "held" in told:
            self.cores.told(told["busy"], told["held"])

    def _blamed(self, event: api.AttemptEnded, attempt: Attempt) -> api.EndpointIds:
        """Whose a failure was: the cache's, or its source's where the answer says so.

        Guards against a source that refuses, unsaid: all its caches would be asked in vain, and taken off.
        """
        cache, source = self.seen.get(attempt.cache), self.seen.get(attempt.source)
        beside = attempt.source in self.caches.ids and attempt.source != attempt.cache
        if event.fill_outcome in BLAMES_SOURCE or (beside and event.outcome is api.AttemptOutcome.MISS):
            return {attempt.source}  # a cache of the location gives only what it holds
        told = self.settings.fill_faults_reported or event.outcome not in (
            api.AttemptOutcome.REJECTED,
            api.AttemptOutcome.ERROR,
        )
        if told or cache is None or source is None or cache.failing > source.failing + DOUBT:
            return {attempt.cache}
        doubtful = source.failing <= cache.failing + DOUBT
        return {attempt.cache, attempt.source} if doubtful else {attempt.source}

    def _judge(self, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, now: float) -> None:
        """Files an outcome under the member it tells of: the fill's source, or the cache asked."""
        job, request_class, told = (
            attempt.job,
            attempt.job.request.request_class,
            attempt.job.request.size_kb > 0,
        )
        cache, source = self.seen.get(attempt.cache), self.seen.get(attempt.source)
        self._report(attempt.cache, event.report)
        beside = attempt.source in self.caches.ids and attempt.source != attempt.cache
        self.retries.ended(event.outcome)
        own_fault, share = blamed <= self.caches.ids, self.throttle.spare_share(now)
        strained = throttle.fill_strained(event, job.request_class, job.work, own_fault, share)
        self._fill_told(attempt, strained, now)
        if beside and event.outcome in (
            api.AttemptOutcome.OK,
            api.AttemptOutcome.MISS,
        ):  # no other end tells what it holds
            self.near += MEMORY * (max(NEAR_LEAST, event.outcome is api.AttemptOutcome.OK) - self.near)
        if cache and cache.out:  # a member that was gone for a while starts from none
            self._count(cache, -1)
        if event.outcome in (api.AttemptOutcome.CANCELLED, api.AttemptOutcome.NOT_SENT):
            return
        if (
            event.outcome
            in (
                api.AttemptOutcome.OK,
                api.AttemptOutcome.MISS,
                api.AttemptOutcome.REJECTED,
                api.AttemptOutcome.ERROR,
            )
            and cache
        ):
            cache.heard_at = now
        if event.fill_outcome in BLAMES_SOURCE:
            self._mark(cache, False, now)
            prompt = (
                event.fill_outcome is api.FillOutcome.SOURCE_FAILED
                and event.fill_wait < job.request_class.latency_objective / 2
            )
            return self._mark(source if event.fill_outcome in SOURCE_FAULTS else None, True, now, prompt)
        if event.outcome is api.AttemptOutcome.OK and event.fill_outcome is api.FillOutcome.HIT and not told:
            self.works[request_class].timed(event.latency)
        own = event.fill_outcome is api.FillOutcome.HIT or attempt.cache in self.parents.ids
        server = cache if own else source
        if server and event.outcome is api.AttemptOutcome.OK and (own or event.fill_outcome in FILLS):
            pace = (event.latency - event.fill_wait) / max(job.work, YOUNGEST)
            self.usual = median_low([1.0, *(max(1.0, self.seen[i].slow) for i in self.caches.ids)])
            pace *= self.usual / cache.slow if cache and not own and cache.slow > CRAWL * self.usual else 1.0
            server.slow += (MEMORY if told else RECENT) * (pace - server.slow)  # untold: sizes are noise
            self._mark(None if attempt.cache in self.caches.ids and own else server, False, now)
        if event.outcome is api.AttemptOutcome.TIMED_OUT and cache and cache.heard_at > attempt.sent_at:
            return  # slow, not silent
        failed = event.outcome not in (
            api.AttemptOutcome.OK,
            api.AttemptOutcome.MISS,
        )  # a lack is an answer of the cache's
        for i in sorted(blamed if failed else {attempt.cache}) if event.outcome not in OWN_FAULT else ():
            self._mark(self.seen.get(i), failed, now)

    def _fill_told(self, attempt: Attempt, strained: bool | None, now: float) -> None:
        """Counts a fill that tells of its source: a strained one once, a good one if it may fill anew."""
        beside = attempt.source == attempt.cache or attempt.source in self.caches.ids
        told = attempt.cache == self.origin or not beside
        if told and strained is not None and not (attempt.slow if strained else attempt.job.cached_only):
            attempt.slow = strained
            source = None if attempt.cache == self.origin else attempt.source
            self.throttle.ended(source, strained, now)

    def _mark(self, seen: Seen | None, failed: bool, now: float, prompt: bool = False) -> None:
        """Guards against members that do not answer, whatever the cause: silence, errors or refusals."""
        if seen is None:
            return
        seen.failing += MEMORY * (failed - seen.failing)
        seen.prompt = prompt
        if seen.off and not failed:
            seen.off, seen.failing = False, 0.0
        elif seen.off or seen.failing > OFF_AT:
            kin = self.caches.ids if seen.endpoint.id in self.caches.ids else self.parents.ids
            if seen.off or sum(self.seen[i].off for i in kin) < OFF_PART * len(kin):
                seen.off, seen.trial_at = True, now + TRIAL

    def _timer(self, token: int, now: float) -> None:
        """Guards against silence: an attempt past its patience at a cache that said nothing meanwhile."""
        what = self.timers.pop(token, (-1, -1))
        if what == PROBING:
            return self._probe()
        job, attempt = self.jobs.get(what[0]), self.attempts.get(what)
        if job is None or attempt is None:
            return
        cache = self.seen.get(attempt.cache)
        if cache and cache.heard_at > attempt.checked_at:
            self._fill_told(attempt, True, now)  # the cache is well: it waits for its source
        # A slow fill looks like silence.
        slow = self.throttle.is_strained(attempt.source, now) or not self.retries.left()
        if not self.settings.may_cancel or cache is None or slow or cache.heard_at > attempt.checked_at:
            attempt.checked_at = now
            return self._watch(job, what[1])
        self._mark(cache, True, now)
        self.out.append(api.Cancel(*what))

    def _probe(self) -> None:
        """Asks the caches in turn for the load that their answers do not carry."""
        self.probing = self.settings.probes and self.settings.load_by_health_check
        ready = [i for i in self.caches.ids if self.seen[i].endpoint.state is api.EndpointState.READY]
        if ready and self.probing:
            self.out.append(api.Probe(ready[self.tokens % len(ready)]))
        if self.probing:  # new settings may end it
            self._set_timer(PROBE_EVERY, PROBING)
