//! The leading controller: loads what is recorded, follows changes, places
//! work every cycle and writes its decisions ahead of sending them.

use super::budget::{Backoff, Bucket};
use super::cycle::{Cycle, Pace, TeamUse, Want};
use super::fleet::{Held, Leaving, Machine};
use super::ledger::{
    self, Assembly, ChunkSize, Dirty, End, HeadStage, Item, Job, Lane, TxnBuilder, TxnLimits,
    Watched,
};
use super::node::{Io, Pending};
use super::preempt::{self, Victim, Victims};
use super::presence::Phase;
use super::rental::Rental;
use super::tables::{Estimates, Row};
use super::weak::{self, Decision};
use super::{Reply, Target};
use crate::policy::Policy;
use crate::settings::{ObjectiveKind, Settings};
use crate::types::{
    Amounts, Attempt, Class, Image, JobId, Kind, MachineId, Span, TaskId, Team, Time, Token,
    Version, Wall,
};
use crate::wire;
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::state::{Changes, Condition, Entries, Entry, Op, Revision};
use crate::wire::users::{Priority, Shape};
use crate::wire::workers::{TaskState, Why};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What is to become of this leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It goes on.
    Stay,
    /// Somebody holds a higher token.
    Deposed(Token),
    /// It gives itself up, to start over from what is recorded.
    StepDown(&'static str),
}

/// Hold of the leader's watch.
const WATCH_HOLD: Span = Span::millis(1000);
/// Least time between two commits.
const COMMIT_GAP: Span = Span::millis(40);
/// Seconds that stopping a task soon after its start weighs more.
const FRESH_COST: f64 = 20.0;
/// Puts a job that has missed an aim behind all that have not.
const LATE: i64 = 1 << 48;
/// Time between looks for machines that fell silent or are gone.
const LOOK_EVERY: Span = Span::millis(200);
/// Least time between two cycles.
const CYCLE_GAP: Span = Span::millis(80);
/// By how much each machine lengthens it.
const GAP_PER_MACHINE: Span = Span(150);
/// Most searches for room in one pass of a cycle.
const MOST_SEARCHES: u32 = 64;
/// Most tasks of one job that one cycle looks at.
const MOST_TASKS: usize = 512;
/// Without contact for this long, nothing is started.
const START_CONTACT: Span = Span::millis(4000);
/// Machines whose images are told to peers at once.
const MOST_CACHES: usize = 100;
/// Arrivals kept per class.
const MOST_ARRIVALS: usize = 256;

type Listed = Vec<(String, Attempt, TaskState, Option<Why>)>;

/// Tasks to stop, found while a cycle makes room.
#[derive(Debug, Default)]
struct Stops {
    /// All that may be stopped, once something looks for them.
    victims: Option<Victims>,
    /// Those that are to be.
    taken: BTreeSet<usize>,
}

#[derive(Debug)]
enum Load {
    Watched(Vec<Entry>, Option<Version>),
    Records(Vec<Entry>),
    Done,
}

/// The leader.
#[derive(Debug)]
pub struct Leader {
    pub(super) settings: Rc<Settings>,
    pub(super) policy: Rc<Policy>,
    /// The token.
    pub token: Token,
    /// The lease that the token hangs on.
    pub lease: u64,
    /// When it took office.
    pub office: Time,
    /// When the last answered read of changes was sent.
    pub contact: Time,
    load: Load,
    assembly: Assembly,
    revision: Version,
    watching: bool,
    watch_again: Time,
    watch_backoff: Backoff,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    pub(super) types: BTreeMap<Kind, MachineType>,
    pub(super) estimates: Estimates,
    pub(super) chunk_size: ChunkSize,
    lane: Lane,
    lane_backoff: Backoff,
    writes: Bucket,
    pub(super) dirty: Dirty,
    pub(super) finishing: BTreeSet<JobId>,
    pub(super) dropping: BTreeSet<JobId>,
    look_due: Time,
    next_cycle: Time,
    last_cycle: Time,
    /// Cycles run.
    pub cycles: u64,
    pub(super) held: BTreeMap<MachineId, Held>,
    /// When held reports are next looked through, and the cycle after which
    /// they last were.
    pub(super) held_due: Time,
    pub(super) held_cycle: u64,
    /// Machines for which starts were stored since.
    pub(super) stored: BTreeSet<MachineId>,
    pub(super) listed: BTreeMap<MachineId, Listed>,
    pub(super) direct: BTreeMap<MachineId, Vec<TaskId>>,
    pub(super) inherited_wait: Span,
    hold: Option<Span>,
    pub(super) rental: Rental,
    pub(super) arrivals: BTreeMap<Class, VecDeque<(Wall, f64, u32)>>,
    told: BTreeMap<JobId, (u32, u32)>,
    told_caches: BTreeMap<MachineId, Vec<(Image, f64)>>,
}

impl Leader {
    /// A leader that has just got its token.
    pub fn new(
        settings: Rc<Settings>,
        policy: Rc<Policy>,
        token: Token,
        lease: u64,
        now: Time,
        types: &MachineTypes,
    ) -> Leader {
        let hold = settings.hold_without_contact();
        let lease_time = settings.workers.lease.scaled(1.001) + Span::secs(2.0);
        let limits = settings.state_limits;
        let mut leader = Leader {
            token,
            lease,
            office: now,
            contact: now,
            load: Load::Watched(Vec::new(), None),
            assembly: Assembly::default(),
            revision: Version(0),
            watching: false,
            watch_again: now,
            watch_backoff: Backoff::default(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            types: BTreeMap::new(),
            estimates: Estimates::new(Span::secs(policy.first_fetch_s)),
            chunk_size: ChunkSize::for_value(limits.value_bytes),
            lane: Lane::default(),
            lane_backoff: Backoff::default(),
            writes: Bucket::new(limits.write_rps * 0.7, limits.write_rps * 0.7),
            dirty: Dirty::default(),
            finishing: BTreeSet::new(),
            dropping: BTreeSet::new(),
            look_due: now,
            next_cycle: now,
            last_cycle: now,
            cycles: 0,
            held: BTreeMap::new(),
            held_due: now,
            held_cycle: 0,
            stored: BTreeSet::new(),
            listed: BTreeMap::new(),
            direct: BTreeMap::new(),
            inherited_wait: hold.unwrap_or(Span::ZERO) + lease_time,
            hold,
            rental: Rental::new(&settings, now),
            arrivals: BTreeMap::new(),
            told: BTreeMap::new(),
            told_caches: BTreeMap::new(),
            settings,
            policy,
        };
        leader.set_types(types);
        leader
    }

    /// Takes over machine types read from the cloud or the state service.
    pub fn set_types(&mut self, types: &MachineTypes) {
        for t in &types.kinds {
            self.types.insert(t.name.clone(), t.clone());
        }
    }

    /// Whether everything recorded has been read.
    pub fn is_loaded(&self) -> bool {
        matches!(self.load, Load::Done)
    }

    /// Whether reports may be answered: everything is loaded, and the last
    /// contact is not so old that a cancellation told since could be missed.
    pub fn may_answer(&self, now: Time) -> bool {
        let most = self.hold.unwrap_or(WATCH_HOLD + Span::millis(500));
        let held = now.since(self.contact) < most || !weak::holds(Decision::BoundedHold);
        self.is_loaded() && held
    }

    /// Whether tasks may be started.
    pub fn may_start(&self, now: Time) -> bool {
        self.is_loaded() && now.since(self.contact) < START_CONTACT
    }

    /// Has the next cycle run soon.
    pub fn cycle_soon(&mut self, now: Time) {
        // The more machines a cycle looks at, the rarer cycles have to be.
        let gap = CYCLE_GAP + Span(GAP_PER_MACHINE.0 * self.machines.len() as u64);
        self.next_cycle = self.next_cycle.min(now.max(self.last_cycle + gap));
    }

    /// Does what is due as time passes.
    pub fn tick(&mut self, io: &mut Io) {
        if !self.watching && io.now.time >= self.watch_again {
            self.read_on(io);
        }
        if self.is_loaded() {
            if io.now.time >= self.look_due {
                self.look_due = io.now.time + LOOK_EVERY;
                self.expire(io);
                self.give_up_machines(io.now.time);
            }
            self.rental_tick(io);
        }
    }

    /// Does what any input may have made due.
    pub fn advance(&mut self, io: &mut Io) {
        let now = io.now.time;
        if now >= self.next_cycle && self.may_start(now) {
            self.last_cycle = now;
            self.next_cycle = now + Span::secs(self.policy.cycle_s);
            self.cycle(io);
            self.cycles += 1;
        }
        self.pump(io);
        self.send_direct(io);
        self.answer_held(io);
    }

    fn read_on(&mut self, io: &mut Io) {
        let (path, timeout) = match &self.load {
            Load::Watched(got, _) => (page(ledger::WATCHED, got), Span::secs(3.0)),
            Load::Records(got) => (page(ledger::RECORDS, got), Span::secs(3.0)),
            Load::Done => (
                format!(
                    "/changes?starts={}&since={}&hold_ms={}",
                    ledger::WATCHED,
                    self.revision,
                    WATCH_HOLD.as_millis()
                ),
                WATCH_HOLD + Span::secs(3.0),
            ),
        };
        self.watching = true;
        let sent = io.now.time;
        let token = self.token;
        io.call(
            Target::State,
            "GET",
            path,
            Vec::new(),
            timeout,
            Pending::Read { token, sent },
        );
    }

    /// A read of the records or of changes was answered, or not.
    pub fn on_read(&mut self, io: &mut Io, sent: Time, reply: Reply) -> Fate {
        let now = io.now.time;
        self.watching = false;
        let (status, body) = match reply {
            Reply::Answer(status, body) => (status, body),
            Reply::NotSent | Reply::Lost => (0, Vec::new()),
        };
        if status == 410 {
            // Fell behind by more than the service keeps: start over.
            return Fate::StepDown("changes were missed");
        }
        if status != 200 {
            let jitter = io.jitter();
            self.watch_again = now
                + self
                    .watch_backoff
                    .failed(Span::millis(150), Span::secs(1.0), jitter);
            return Fate::Stay;
        }
        self.watch_backoff.succeeded();
        self.watch_again = now;
        if !self.is_loaded() {
            return self.on_page(now, sent, &body);
        }
        let Some(changes) = wire::decode::<Changes>(&body) else {
            return Fate::StepDown("changes could not be read");
        };
        self.contact = self.contact.max(sent);
        self.apply(io, changes)
    }

    fn on_page(&mut self, now: Time, sent: Time, body: &[u8]) -> Fate {
        let Some(page) = wire::decode::<Entries>(body) else {
            return Fate::StepDown("records could not be read");
        };
        let more = page.more;
        match &mut self.load {
            Load::Watched(got, first) => {
                // Changes are followed from the first page on; what a later
                // page already shows is applied twice without harm.
                first.get_or_insert(page.revision);
                got.extend(page.items);
                if !more {
                    self.revision = first.unwrap_or_default();
                    let got = std::mem::take(got);
                    if let Some(fate) = self.load_watched(got) {
                        return fate;
                    }
                    self.load = Load::Records(Vec::new());
                }
            }
            Load::Records(got) => {
                got.extend(page.items);
                if !more {
                    let got = std::mem::take(got);
                    self.load_records(now, got);
                    self.load = Load::Done;
                    self.contact = sent;
                    tracing::info!(token = %self.token, jobs = self.jobs.len(), machines = self.machines.len(), "leading");
                }
            }
            Load::Done => {}
        }
        Fate::Stay
    }

    fn load_watched(&mut self, entries: Vec<Entry>) -> Option<Fate> {
        let mut holds = false;
        for e in &entries {
            match ledger::watched(&e.key) {
                Watched::Leader => holds = e.version.0 == self.token.0,
                Watched::Part(id, n) => self.assembly.part(id, n, &e.value),
                _ => {}
            }
        }
        if !holds {
            return Some(Fate::StepDown("the lease ran out while loading"));
        }
        for e in &entries {
            if let Watched::Job(id) = ledger::watched(&e.key) {
                self.add_job(&id, e.version, &e.value);
            }
        }
        for e in &entries {
            if let Watched::End(id) = ledger::watched(&e.key)
                && let Some(job) = self.jobs.get_mut(&id)
            {
                job.end = Some(match ledger::read::<ledger::Head>(&e.value) {
                    Some(h) if h.s == HeadStage::Done => End::Done { written: true },
                    _ => End::Cancelled,
                });
            }
        }
        None
    }

    fn add_job(&mut self, id: &JobId, version: Version, value: &serde_json::Value) {
        if self.jobs.contains_key(id) {
            return;
        }
        match self.assembly.job(id, version, value) {
            Some(job) => {
                self.note_arrival(&job);
                tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, tasks = job.spec.tasks, image = %job.spec.image, "accepted");
                self.jobs.insert(id.clone(), job);
            }
            None => tracing::error!(job = %id, "record of the submission cannot be read"),
        }
    }

    fn note_arrival(&mut self, job: &Job) {
        let needs = job.spec.needs();
        let per_machine = self
            .types
            .values()
            .map(|t| needs.count_in(&t.has(), u32::MAX))
            .max()
            .unwrap_or(1)
            .max(1);
        let machines = f64::from(job.spec.tasks) / f64::from(per_machine);
        let all = self.arrivals.entry(job.spec.class.clone()).or_default();
        all.push_back((job.at, machines, job.spec.tasks));
        if all.len() > MOST_ARRIVALS {
            all.pop_front();
        }
    }

    fn load_records(&mut self, now: Time, entries: Vec<Entry>) {
        for e in entries {
            let Some((id, chunk)) = ledger::record(&e.key) else {
                continue;
            };
            // Without its submission a record is a remnant of an ended job.
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !job.load_chunk(chunk, e.version, &e.value) {
                tracing::error!(job = %id, chunk, "record cannot be read");
            }
        }
        let mut stop = Vec::new();
        for (id, job) in &mut self.jobs {
            for (&index, p) in &mut job.places {
                p.placed = now;
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                self.machines
                    .entry(p.machine.clone())
                    .or_insert_with(|| Machine::new(now))
                    .take(task, job.spec.needs());
            }
            if job.end.is_none() && !job.is_service() && job.done.len() == job.spec.tasks {
                job.end = Some(End::Done { written: false });
                self.finishing.insert(id.clone());
            }
            if !job.is_open() {
                if job.places.is_empty() {
                    self.dropping.insert(id.clone());
                } else {
                    stop.push(id.clone());
                }
            }
        }
        for id in stop {
            self.stop_all(now, &id, "its job is over");
        }
    }

    fn stop_all(&mut self, now: Time, id: &JobId, why: &'static str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let all: Vec<u32> = job.places.keys().copied().collect();
        self.stop_tasks(now, id, &all, 0.0, why);
        if self.jobs[id].places.is_empty() {
            self.dropping.insert(id.clone());
        }
    }

    fn apply(&mut self, io: &mut Io, changes: Changes) -> Fate {
        let now = io.now.time;
        for e in &changes.events {
            if let Some(Watched::Part(id, n)) = e.put.as_deref().map(ledger::watched) {
                self.assembly.part(id, n, &e.value);
            }
        }
        for e in &changes.events {
            if let Some(key) = &e.delete {
                if key == ledger::LEADER {
                    return Fate::StepDown("the lease ran out");
                }
                continue;
            }
            match e.put.as_deref().map(ledger::watched) {
                Some(Watched::Leader) if e.version.0 != self.token.0 => {
                    return Fate::Deposed(Token(e.version.0));
                }
                Some(Watched::Job(id)) => {
                    self.add_job(&id, e.version, &e.value);
                    self.cycle_soon(now);
                }
                Some(Watched::End(id)) => {
                    let cancelled = ledger::read::<ledger::Head>(&e.value)
                        .is_some_and(|h| h.s == HeadStage::Cancelled);
                    if cancelled {
                        self.cancelled(now, &id);
                    }
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(changes.revision);
        Fate::Stay
    }

    fn cancelled(&mut self, now: Time, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        tracing::info!(job = %id, team = %job.spec.team, "cancelled by its user");
        job.end = Some(End::Cancelled);
        job.waiting = Default::default();
        self.finishing.remove(id);
        self.stop_all(now, id, "its user cancelled it");
    }

    // ---- writing ----

    fn pump(&mut self, io: &mut Io) {
        let now = io.now.time;
        if self.lane.calling || now < self.lane.not_before {
            return;
        }
        if self.lane.flight.is_none() {
            self.lane.flight = self.gather(now);
            self.lane.doubtful = false;
        }
        let Some((txn, _)) = &self.lane.flight else {
            return;
        };
        if !io.state_calls.take(now, 1.0) {
            self.lane.not_before = now + Span::millis(50);
            return;
        }
        self.lane.calling = true;
        let body = wire::encode(txn);
        let token = self.token;
        io.call(
            Target::State,
            "POST",
            "/commit".into(),
            body,
            Span::secs(2.0),
            Pending::Commit { token },
        );
    }

    fn gather(&mut self, now: Time) -> Option<(crate::wire::state::Txn, Vec<Item>)> {
        let limits = self.settings.state_limits;
        let level = self.writes.level(now) as usize;
        let ops = limits.txn_ops.min(level);
        if ops < 4 {
            return None;
        }
        let mut b = TxnBuilder::new(
            self.token,
            TxnLimits {
                ops,
                value_bytes: limits.value_bytes,
            },
        );
        for id in std::mem::take(&mut self.finishing) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            if job.end != Some(End::Done { written: false }) {
                continue;
            }
            let head = ledger::head_value(HeadStage::Done, job.spec.tasks);
            let put = |key: String| Op::Put {
                key,
                value: head.clone(),
                lease: None,
            };
            let condition = Condition {
                key: ledger::head_key(&id),
                version: job.version,
            };
            let ops = vec![put(ledger::head_key(&id)), put(ledger::end_key(&id))];
            if !b.add(Item::Finish(id.clone()), vec![condition], ops) {
                self.finishing.insert(id);
            }
        }
        for due in self.dirty.due(now) {
            if b.room() == 0 {
                break;
            }
            let (id, chunk) = due.clone();
            // Records of an ended job are only ever deleted.
            let job = self.jobs.get(&id).filter(|j| j.is_open());
            let Some((job, c)) = job.and_then(|j| Some((j, j.chunks.get(&chunk)?))) else {
                self.dirty.forget(&due);
                continue;
            };
            let key = ledger::chunk_key(&id, chunk);
            let put = Op::Put {
                key: key.clone(),
                value: job.chunk_value(self.chunk_size, chunk),
                lease: None,
            };
            let condition = Condition {
                key,
                version: c.version,
            };
            if !b.add(Item::Chunk(id, chunk, c.change), vec![condition], vec![put]) {
                break;
            }
            self.dirty.forget(&due);
        }
        for id in std::mem::take(&mut self.dropping) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let over = matches!(job.end, Some(End::Cancelled | End::Done { written: true }));
            if !over || !job.places.is_empty() {
                if !job.is_open() && !over {
                    self.dropping.insert(id);
                }
                continue;
            }
            let keys = job.keys();
            let n = keys.len().min(b.room());
            let last = n == keys.len();
            let ops = keys[..n]
                .iter()
                .map(|k| Op::Delete { key: k.clone() })
                .collect();
            if n == 0 || !b.add(Item::Drop(id.clone(), last), Vec::new(), ops) {
                self.dropping.insert(id);
            }
        }
        let built = b.finish()?;
        self.writes.take(now, built.0.ops.len() as f64);
        Some(built)
    }

    /// A transaction was answered, or not.
    pub fn on_commit(&mut self, io: &mut Io, reply: Reply) -> Fate {
        let now = io.now.time;
        self.lane.calling = false;
        let Some((txn, items)) = self.lane.flight.take() else {
            return Fate::Stay;
        };
        let pause = self
            .lane_backoff
            .failed(Span::millis(100), Span::secs(1.0), io.jitter());
        match reply {
            Reply::Answer(200, body) => {
                self.lane_backoff.succeeded();
                self.lane.not_before = now + COMMIT_GAP;
                let Some(answer) = wire::decode::<Revision>(&body) else {
                    return Fate::StepDown("a commit's answer could not be read");
                };
                for item in items {
                    self.committed(item, &txn, answer.revision);
                }
                Fate::Stay
            }
            Reply::Answer(409, _) if self.lane.doubtful => {
                // Either the lost first try went through or something else
                // changed. What is recorded decides: start over from it.
                Fate::StepDown("a write's fate is unknown")
            }
            Reply::Answer(409, body) => {
                self.lane.not_before = now + COMMIT_GAP;
                let failed = wire::decode::<Revision>(&body).unwrap_or_default().failed;
                if failed.iter().any(|k| k == ledger::LEADER) {
                    return Fate::StepDown("a commit found another leader");
                }
                if failed.iter().any(|k| k.starts_with(ledger::RECORDS)) {
                    return Fate::StepDown("a record was changed by somebody else");
                }
                for item in items {
                    // A job cancelled in the meantime is told by the watch.
                    let raced = matches!(&item, Item::Finish(id)
                        if failed.contains(&ledger::head_key(id)));
                    if !raced {
                        self.again(now, item);
                    }
                }
                Fate::Stay
            }
            Reply::Answer(400, _) => Fate::StepDown("a commit was malformed"),
            Reply::Answer(..) | Reply::NotSent if !self.lane.doubtful => {
                for item in items {
                    self.again(now, item);
                }
                self.lane.not_before = now + pause;
                Fate::Stay
            }
            Reply::Answer(..) | Reply::NotSent | Reply::Lost => {
                self.lane.doubtful |= matches!(reply, Reply::Lost);
                self.lane.flight = Some((txn, items));
                self.lane.not_before = now + pause;
                Fate::Stay
            }
        }
    }

    fn again(&mut self, now: Time, item: Item) {
        match item {
            Item::Chunk(id, chunk, _) => self.dirty.note((id, chunk), now, true),
            Item::Finish(id) => {
                self.finishing.insert(id);
            }
            Item::Drop(id, _) => {
                self.dropping.insert(id);
            }
        }
    }

    fn committed(&mut self, item: Item, txn: &crate::wire::state::Txn, revision: Version) {
        match item {
            Item::Chunk(id, chunk, change) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    if let Some(c) = job.chunks.get_mut(&chunk) {
                        c.version = revision;
                        c.stored = c.stored.max(change);
                    }
                    let size = self.chunk_size;
                    let low = chunk * size.0;
                    let here = job.places.range(low..low + size.0);
                    let unsent = here.filter(|(_, p)| p.unsent() && p.change <= change);
                    self.stored.extend(unsent.map(|(_, p)| p.machine.clone()));
                    job.unsaved
                        .retain(|&t, n| size.of(t) != chunk || *n > change);
                }
            }
            Item::Finish(id) => {
                if let Some(job) = self.jobs.get_mut(&id)
                    && job.end == Some(End::Done { written: false })
                {
                    job.end = Some(End::Done { written: true });
                    job.unsaved.clear();
                    tracing::info!(job = %id, team = %job.spec.team, class = %job.spec.class, "done");
                    self.dropping.insert(id);
                }
            }
            Item::Drop(id, true) => {
                self.jobs.remove(&id);
                self.told.remove(&id);
            }
            Item::Drop(id, false) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.chunks.retain(|&c, _| {
                        let key = ledger::chunk_key(&id, c);
                        !txn.ops
                            .iter()
                            .any(|op| matches!(op, Op::Delete { key: k } if *k == key))
                    });
                }
                self.dropping.insert(id);
            }
        }
    }

    // ---- placing ----

    /// The machines as the cycle sees them, and their names by row.
    pub(super) fn rows(&self, now: Time) -> Vec<Row> {
        let silence = self.silence();
        self.machines
            .iter()
            .filter(|(_, m)| m.usable(now, silence))
            .filter_map(|(id, m)| self.row(now, id, m))
            .collect()
    }

    /// One machine as a row.
    pub(super) fn row(&self, now: Time, id: &MachineId, m: &Machine) -> Option<Row> {
        let kind = m.kind.clone()?;
        let t = self.types.get(&kind)?;
        let whole = t.has();
        let free = whole - m.strays - m.used;
        Some(Row {
            id: id.clone(),
            kind,
            zone: m.zone.clone()?,
            spot: m.spot,
            whole,
            free,
            available: now,
            last_high: m.last_high,
            cache: m.cache.clone(),
            fetch_rate: t.fetch_gb_per_s,
        })
    }

    /// Predicts when each row's machine will be free altogether.
    fn predict(&self, now: Time, rows: &mut [Row]) {
        for row in rows {
            let tasks = self.machines.get(&row.id).map(|m| &m.tasks);
            let mut work = 0.0;
            for task in tasks.into_iter().flatten() {
                if let Some(job) = self.jobs.get(&task.job)
                    && let Some(p) = job.places.get(&task.index)
                {
                    let share = job.spec.needs().share_of(&row.whole).min(1.0);
                    work += self.remaining(now, job, p).as_secs() * share;
                }
            }
            row.available = now + Span::secs(work);
        }
    }

    /// What teams use, counting every place a task may be.
    pub(super) fn team_use(&self) -> BTreeMap<Team, TeamUse> {
        let mut teams: BTreeMap<Team, TeamUse> = self
            .settings
            .teams
            .iter()
            .map(|(t, share)| {
                let none = Amounts::default();
                (
                    t.clone(),
                    TeamUse {
                        used: none,
                        share: *share,
                    },
                )
            })
            .collect();
        for job in self.jobs.values() {
            if let Some(t) = teams.get_mut(&job.spec.team) {
                t.used += job.spec.needs().times(job.places.len() as f64);
            }
        }
        teams
    }

    /// Marks the open jobs that lie within their team's guarantee: together
    /// with the team's earlier unfinished jobs they fit into it.
    fn mark_entitled(&mut self) {
        let mut order: Vec<(Wall, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_open())
            .map(|(id, j)| (j.at, id.clone()))
            .collect();
        order.sort();
        let mut sums: BTreeMap<Team, Amounts> = BTreeMap::new();
        for (_, id) in order {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(share) = self.settings.teams.get(&job.spec.team) else {
                continue;
            };
            let sum = sums.entry(job.spec.team.clone()).or_default();
            let whole = *sum + job.spec.needs().times(f64::from(job.spec.tasks));
            job.notes.entitled = share.guarantees(&whole);
            *sum = whole;
        }
    }

    /// Orders jobs of the same rank. Each aim for a job's class gives a time
    /// by which its tasks should start. The job whose next such time comes
    /// first goes first, but one that has missed an aim goes behind those that
    /// have not: in a rush, work that is late anyway must not make the rest
    /// late too. Large jobs go later by what they would take of `fleet`: when
    /// not all can be on time, the small ones are more.
    fn order(&self, wall: Wall, job: &Job, fleet: &Amounts) -> i64 {
        let ms = |s: f64| (s * 1000.0).clamp(0.0, 1e10) as i64;
        let since = wall.0 as i64 - job.at.0 as i64;
        let run = ms(job.spec.estimate_s);
        let started = !job.done.is_empty() || !job.places.is_empty();
        let mut times: Vec<i64> = self
            .settings
            .objectives
            .iter()
            .filter(|o| o.class.as_ref() == Some(&job.spec.class))
            .filter_map(|o| match (o.kind, o.within, job.spec.deadline_s) {
                (ObjectiveKind::Wait, Some(w), _) if !started => Some(ms(w.as_secs())),
                (ObjectiveKind::Finished, Some(w), _) => Some(ms(w.as_secs()) - run),
                (ObjectiveKind::Deadline, _, Some(d)) => Some(ms(d * o.times) - run),
                _ => None,
            })
            .collect();
        if times.is_empty() {
            times.push(ms(job.spec.deadline_s.unwrap_or(600.0)) - run);
        }
        let missed = times.iter().filter(|t| **t < since).count() as i64;
        let next = times.iter().filter(|t| **t >= since).min();
        let left = f64::from(job.waiting.len()) * job.spec.needs().share_of(fleet);
        let size = ms(left * job.spec.estimate_s * self.policy.small_first);
        // What has missed everything goes by age.
        missed * LATE + job.at.0 as i64 + next.copied().unwrap_or(0) + size
    }

    /// When a job's tasks must run for its next aim about starting to be met:
    /// that of its class, or of work within a guarantee.
    fn start_by(&self, now: Time, wall: Wall, job: &Job) -> Option<Time> {
        if !job.done.is_empty() {
            return None;
        }
        let since = Span::millis(wall.0.saturating_sub(job.at.0));
        let left = self.settings.objectives.iter().filter_map(|o| {
            let concerns = match o.kind {
                ObjectiveKind::Wait => o.class.as_ref() == Some(&job.spec.class),
                ObjectiveKind::Guarantee => job.notes.entitled,
                _ => false,
            };
            let within = o.within.filter(|w| concerns && *w > since)?;
            Some(Span(within.0 - since.0))
        });
        left.min().map(|left| now + left)
    }

    /// What all machines together have.
    fn fleet(&self) -> Amounts {
        let mut all = Amounts::default();
        for m in self.machines.values().filter(|m| m.reported.is_some()) {
            if let Some(t) = m.kind.as_ref().and_then(|k| self.types.get(k)) {
                all += t.has();
            }
        }
        all
    }

    fn wants(&mut self, now: Time, wall: Wall) -> Vec<Want> {
        self.mark_entitled();
        let ids: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.is_open() && !j.waiting.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        let patience = Span::secs(self.policy.patience_s);
        let fleet = self.fleet();
        let mut wants = Vec::new();
        for id in ids {
            let order = self.order(wall, &self.jobs[&id], &fleet);
            let start_by = self.start_by(now, wall, &self.jobs[&id]);
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.notes.waiting_since.get_or_insert(now);
            if now < job.notes.not_before {
                job.notes.why = "it failed lately";
                continue;
            }
            if job.is_gang() && !job.places.is_empty() {
                job.notes.why = "its last attempt is not gone yet";
                continue;
            }
            let spec = job.spec.clone();
            let mut in_zones = BTreeMap::new();
            let mut unknown = false;
            for p in job.places.values() {
                match self.machines.get(&p.machine).and_then(|m| m.zone.clone()) {
                    Some(z) => *in_zones.entry(z).or_default() += 1,
                    None => unknown = true,
                }
            }
            if unknown && (spec.one_zone || spec.spread) {
                job.notes.why = "the zone of one of its tasks is not known yet";
                continue;
            }
            job.notes.why = "no room";
            let tasks: Vec<u32> = if job.is_gang() {
                job.waiting.iter().collect()
            } else {
                job.waiting.iter().take(MOST_TASKS).collect()
            };
            wants.push(Want {
                job: id,
                team: spec.team.clone(),
                image: spec.image.clone(),
                image_gb: spec.image_gb,
                need: spec.needs(),
                tasks,
                gang: spec.shape == Shape::Gang,
                priority: spec.priority,
                entitled: job.notes.entitled,
                order,
                kinds: spec.kinds.clone(),
                zone: spec.zone.clone(),
                one_zone: spec.one_zone,
                most_in_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
                in_zones,
                spot: spec.spot,
                run: Span::secs(spec.estimate_s),
                start_by,
                aged: job.notes.waiting_since.is_some_and(|t| {
                    let most = if job.is_gang() {
                        patience
                    } else {
                        patience.scaled(10.0)
                    };
                    now.since(t) > most
                }),
                avoid: job.notes.failed_on.clone(),
            });
        }
        wants
    }

    fn cycle(&mut self, io: &mut Io) {
        let now = io.now.time;
        let mut wants = self.wants(now, io.now.wall);
        let holds = wants.iter().any(|w| w.aged && w.gang);
        let mut rows = self.rows(now);
        if holds {
            self.predict(now, &mut rows);
        }
        let mut teams = self.team_use();
        let wait = self.settings.workers.gang_wait;
        let pace = Pace {
            now,
            most_skew: Span(wait.0 * 6 / 10),
        };
        let estimates = self.estimates.clone();
        let mut cycle = Cycle::new(pace, &mut rows, &mut teams, &estimates);
        cycle.run_warm(&mut wants);
        let mut stops = Stops::default();
        self.make_room(&mut cycle, &mut wants, Priority::High, &mut stops);
        cycle.run_rest(&mut wants);
        self.make_room(&mut cycle, &mut wants, Priority::Low, &mut stops);
        let starts = std::mem::take(&mut cycle.starts);
        let mut attempts: BTreeMap<JobId, Attempt> = BTreeMap::new();
        for s in starts {
            let attempt = *attempts
                .entry(s.job.clone())
                .or_insert_with(|| Attempt(self.jobs.get(&s.job).map_or(0, |j| j.attempt.0) + 1));
            let task = TaskId {
                job: s.job,
                index: s.task,
            };
            let machine = rows[s.row].id.clone();
            let fetch = self.machines.get(&machine).map(|m| {
                let image = &self.jobs[&task.job].spec.image;
                m.cache.remaining(image, now).map(Span::as_secs)
            });
            tracing::debug!(task = %task, %machine, ?fetch, "placed");
            self.put(now, &task, &machine, attempt);
        }
        let mut by_job: BTreeMap<JobId, Vec<u32>> = BTreeMap::new();
        for n in stops.taken {
            if let Some(v) = stops.victims.as_ref().map(|v| &v[n]) {
                by_job.entry(v.job.clone()).or_default().push(v.task);
            }
        }
        for (id, tasks) in by_job {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let grace = job.spec.save_s;
            tracing::info!(job = %id, team = %job.spec.team, tasks = tasks.len(), "stopped for more urgent work");
            self.stop_tasks(now, &id, &tasks, grace, "stopped for more urgent work");
        }
        for job in self.jobs.values_mut().filter(|j| j.waiting.is_empty()) {
            job.notes.waiting_since = None;
            job.notes.why = "";
        }
        wants.retain(|w| !w.tasks.is_empty());
        self.plan_rental(io, &wants, &rows);
    }

    /// Stops tasks for work that found no room, and places that work where
    /// they were; it is sent once they have left.
    fn make_room(
        &self,
        cycle: &mut Cycle<'_>,
        wants: &mut [Want],
        least: Priority,
        stops: &mut Stops,
    ) {
        let urgent = |w: &Want| !w.tasks.is_empty() && (w.priority > Priority::Low || w.entitled);
        let mut order: Vec<usize> = (0..wants.len())
            .filter(|&i| wants[i].priority >= least && urgent(&wants[i]))
            .collect();
        order.sort_by_key(|&i| {
            (
                std::cmp::Reverse(wants[i].priority),
                std::cmp::Reverse(wants[i].entitled),
                wants[i].order,
            )
        });
        // What a search that found nothing is good for: until room is made,
        // another want like it that is no smaller finds nothing either.
        let mut failed: Vec<(usize, usize)> = Vec::new();
        let mut searches = 0;
        for i in order {
            let hopeless = failed
                .iter()
                .any(|&(f, n)| wants[i].tasks.len() >= n && wants[i].is_like(&wants[f]));
            if hopeless {
                continue;
            }
            let want = &mut wants[i];
            let allowed = cycle
                .teams
                .get(&want.team)
                .map(|t| TeamUse {
                    used: t.used + want.need.times(want.tasks.len() as f64),
                    share: t.share,
                })
                .is_some_and(|t| t.share.allows(&t.used));
            if !allowed {
                continue;
            }
            searches += 1;
            if searches > MOST_SEARCHES {
                return;
            }
            let victims = stops
                .victims
                .get_or_insert_with(|| self.victims(cycle.pace.now, cycle.rows));
            let Some(e) = preempt::evict(cycle, want, victims, &stops.taken, 16) else {
                failed.push((i, if want.gang { want.tasks.len() } else { 1 }));
                continue;
            };
            failed.clear();
            for &n in &e.victims {
                cycle.rows[victims[n].row].free += victims[n].need;
            }
            stops.taken.extend(e.victims);
            for row in e.rows {
                if let Some(task) = (!want.tasks.is_empty()).then(|| want.tasks.remove(0)) {
                    cycle.assign(want, task, row);
                }
            }
        }
    }

    fn victims(&self, now: Time, rows: &[Row]) -> Victims {
        let index: BTreeMap<&MachineId, usize> =
            rows.iter().enumerate().map(|(i, r)| (&r.id, i)).collect();
        let settle = Span::secs(self.policy.settle_s);
        let mut victims = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| j.is_open()) {
            // A gang goes whole, so all of it must be within reach.
            let reachable = job
                .places
                .values()
                .all(|p| index.contains_key(&p.machine) && p.stop.is_none());
            if job.is_gang() && !reachable {
                continue;
            }
            let aims = job.notes.entitled
                || self.settings.objectives.iter().any(|o| {
                    o.kind == ObjectiveKind::Wait && o.class.as_ref() == Some(&job.spec.class)
                });
            for (&task, p) in &job.places {
                let Some(&row) = index.get(&p.machine) else {
                    continue;
                };
                if p.stop.is_some() || p.unsent() {
                    continue;
                }
                let ran = p.running.map_or(0.0, |t| now.since(t).as_secs());
                let lost = if job.spec.checkpoint_s > 0.0 {
                    job.spec.save_s
                } else {
                    ran
                };
                let share = job.spec.needs().share_of(&rows[row].whole);
                let settled = matches!(p.phase, Phase::Seen(_) | Phase::Inherited)
                    && now.since(p.placed) > settle;
                // A start that is stopped soon does not count for its users,
                // if they have an aim about starting.
                let fresh = if settled || !aims { 0.0 } else { FRESH_COST };
                victims.push(Victim {
                    job: id.clone(),
                    task,
                    team: job.spec.team.clone(),
                    priority: job.spec.priority,
                    need: job.spec.needs(),
                    gang: job.is_gang(),
                    row,
                    cost: (lost + 5.0 + fresh) * share,
                    settled,
                });
            }
        }
        Victims::new(victims, rows.len())
    }

    // ---- telling ----

    /// Task counts of a job, for display: done and running.
    pub fn counts(&self, id: &JobId) -> Option<(u32, u32)> {
        let job = self.jobs.get(id)?;
        let running = job
            .places
            .values()
            .filter(|p| p.phase == Phase::Seen(TaskState::Running))
            .count();
        Some((job.done.len(), running as u32))
    }

    /// Counts that changed since the last call, at most `most`.
    pub fn changed_counts(&mut self, most: usize) -> Vec<(JobId, u32, u32)> {
        let ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        let mut out = Vec::new();
        for id in ids {
            let Some(now) = self.counts(&id) else {
                continue;
            };
            if out.len() < most && self.told.get(&id) != Some(&now) {
                self.told.insert(id.clone(), now);
                out.push((id, now.0, now.1));
            }
        }
        out
    }

    /// Images of machines where they changed since the last call.
    pub fn changed_caches(&mut self) -> Vec<(MachineId, Vec<(Image, f64)>)> {
        self.told_caches
            .retain(|id, _| self.machines.contains_key(id));
        let mut out = Vec::new();
        for (id, m) in &self.machines {
            let now: Vec<(Image, f64)> = m.cache.images().map(|(i, gb)| (i.clone(), gb)).collect();
            if out.len() < MOST_CACHES && self.told_caches.get(id) != Some(&now) {
                self.told_caches.insert(id.clone(), now.clone());
                out.push((id.clone(), now));
            }
        }
        out
    }

    /// A peer missed what was told: tells everything once more.
    pub fn tell_again(&mut self) {
        self.told.clear();
        self.told_caches.clear();
    }

    /// Takes over what the last leader told of a machine's images.
    pub fn inherit_cache(&mut self, now: Time, id: &MachineId, images: &[(Image, f64)]) {
        let m = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(now));
        for (image, gb) in images {
            m.cache.fetched(image, *gb, now, f64::INFINITY);
        }
    }

    /// Everything an operator may ask for.
    pub fn inspect(&self, now: Time) -> serde_json::Value {
        let age = |t: Option<Time>| t.map(|t| now.since(t).as_secs());
        let machines: Vec<_> = self
            .machines
            .iter()
            .map(|(id, m)| {
                serde_json::json!({
                    "machine": id, "kind": m.kind, "zone": m.zone, "spot": m.spot,
                    "session": m.session, "reported_s_ago": age(m.reported),
                    "usable": m.usable(now, self.silence()), "lost": m.lost,
                    "leaving": m.leaving != Leaving::No, "taken_in_s": m.taken_at.map(|t| t.since(now).as_secs()),
                    "images": m.cache.images().map(|(i, _)| i).collect::<Vec<_>>(),
                    "tasks": m.tasks.iter().map(|t| {
                        let job = self.jobs.get(&t.job);
                        let p = job.and_then(|j| j.places.get(&t.index));
                        serde_json::json!({
                            "task": t.to_string(), "owner": job.map(|j| &j.spec.team),
                            "attempt": p.map(|p| p.attempt),
                            "phase": p.map(|p| format!("{:?}", p.phase)),
                            "stopping": p.is_some_and(|p| p.stop.is_some()),
                        })
                    }).collect::<Vec<_>>(),
                })
            })
            .collect();
        let jobs: Vec<_> = self
            .jobs
            .iter()
            .map(|(id, j)| {
                serde_json::json!({
                    "job": id, "owner": j.spec.team, "class": j.spec.class,
                    "priority": j.spec.priority, "tasks": j.spec.tasks, "done": j.done.len(),
                    "placed": j.places.len(), "waiting": j.waiting.len(),
                    "waits_s": age(j.notes.waiting_since), "why": j.notes.why,
                    "within_guarantee": j.notes.entitled, "last_stop": j.notes.last_stop,
                    "end": j.end.map(|e| format!("{e:?}")),
                })
            })
            .collect();
        serde_json::json!({
            "token": self.token, "in_office_s": now.since(self.office).as_secs(),
            "contact_s_ago": now.since(self.contact).as_secs(), "loaded": self.is_loaded(),
            "cycles": self.cycles, "machines": machines, "jobs": jobs,
        })
    }
}

/// Path of the next page of keys below a prefix.
fn page(prefix: &str, got: &[Entry]) -> String {
    match got.last() {
        Some(e) => format!("/keys?starts={prefix}&since={}&most=500", e.key),
        None => format!("/keys?starts={prefix}&most=500"),
    }
}
