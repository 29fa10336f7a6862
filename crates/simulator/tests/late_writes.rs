//! Every order of the steps around a job whose transactions may be carried out late,
//! after newer ones of the same controller: a user that submits and cancels through
//! any node, leaders that come and go, one task on one machine. The transactions are
//! the real ledger's, and so is what is read back.

use pebblefold_controller::core::assignment::{Assignment, AssignmentPhase};
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::core::format_version::KNOWN_VERSIONS;
use pebblefold_controller::core::format_version::chunk_progress::ChunkProgress;
use pebblefold_controller::core::job_records::{
    self, ChunkSize, HeaderStage, Job, JobHeader, JobOutcome, SubmissionAssembler,
    TransactionLimits,
};
use pebblefold_controller::types::{AgentEpoch, Attempt, JobId, Version, WallTime};
use pebblefold_controller::wire::kvstore::{Operation, Precondition, Transaction};
use pebblefold_controller::wire::users::{JobShape, Priority, Submission};
use serde_json::Value;
use std::collections::{BTreeMap, HashSet};

const HOLDER: &str = "w/leader/holder";
const SIZE: ChunkSize = ChunkSize(64);
/// More worlds than this are a fault of the search.
const MOST: usize = 600_000;

fn id() -> JobId {
    "wk-1".into()
}

fn spec() -> Submission {
    Submission {
        id: id(),
        class: "urgent".into(),
        team: "red".into(),
        shape: JobShape::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 16.0,
        image: "img".into(),
        image_gb: 1.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 30.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Chunk(u64),
    Finish,
    Close,
    Drop(bool),
}

#[derive(Clone, Debug)]
struct Leader {
    token: u64,
    job: Option<Job>,
    /// Its one transaction, and whether an answer to it was lost.
    flight: Option<(Transaction, Kind)>,
    doubtful: bool,
}

/// Wrong versions of what is made of a missing or refused answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    Nothing,
    /// A submission that finds the job there is answered without a read.
    ConflictIsOpen,
    /// A submission without an answer is told as accepted.
    LostIsAccepted,
    /// A cancellation without an answer is told as carried out.
    LostIsCancelled,
    /// A job that this node saw open is open.
    SeenIsOpen,
    /// A leader's repeat that is refused had been carried out before.
    RefusedIsOwn,
    /// The record of a leader's refused repeat says so, whatever its version.
    AnyRecordIsOwn,
}

/// A user's question at one of the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Question {
    /// What its user had been told when it was asked.
    knew: Option<HeaderStage>,
    /// What a read sent since has shown.
    shown: Option<Option<HeaderStage>>,
    /// Whether it is a cancellation whose fate a read has to tell.
    cancels: bool,
}

/// What becomes of a transaction that is sent.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Answered,
    AnswerLost,
    Late,
}

#[derive(Clone, Debug, Default)]
struct World {
    keys: BTreeMap<String, (Value, u64)>,
    revision: u64,
    /// Transactions that may be carried out at any time.
    late: Vec<Transaction>,
    losses: u8,
    submits: u8,
    cancels: u8,
    lives: u8,
    /// The head as a node read it that is to cancel the job.
    read: Option<(JobHeader, Version)>,
    /// What the job's user was told last, and what is asked now; further questions.
    told: Option<HeaderStage>,
    question: Option<Question>,
    questions: u8,
    /// Whether what users are told is followed at all.
    follows: bool,
    /// Whether a node has seen the job open.
    seen_open: bool,
    leader: Option<Leader>,
    /// The attempt that runs, how many were begun, and whether one has completed.
    running: Option<u64>,
    complete: bool,
    /// The highest attempt that was ever stored.
    stored: u64,
    broken: Option<&'static str>,
}

impl World {
    fn head(&self) -> Option<HeaderStage> {
        let (value, _) = self.keys.get(&job_records::job_header_key(&id()))?;
        job_records::read_record::<JobHeader>(value).map(|h| h.stage)
    }

    fn places(&self) -> Vec<u64> {
        let record = self.keys.get(&job_records::chunk_key(&id(), 0));
        let read = record.and_then(|(value, _)| ChunkProgress::read(value).ok());
        let places = read.map_or(Vec::new(), |p| p.assignments);
        places.into_iter().map(|(_, a, ..)| a.0).collect()
    }

    /// Carries a transaction out; the keys whose conditions failed.
    fn apply(&mut self, txn: &Transaction) -> Vec<String> {
        let version = |key: &str| self.keys.get(key).map_or(0, |(_, v)| *v);
        let fails = |c: &&Precondition| version(&c.key) != c.version.0;
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(fails)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return failed;
        }
        let before = self.head();
        self.revision += 1;
        for op in &txn.ops {
            match op {
                Operation::Put { key, value, .. } => {
                    let value = (value.clone(), self.revision);
                    self.keys.insert(key.clone(), value);
                }
                Operation::Delete { key } => {
                    self.keys.remove(key);
                }
            }
        }
        let highest = self.places().into_iter().max().unwrap_or(0);
        if highest > self.stored {
            self.stored = highest;
            if before != Some(HeaderStage::Open) {
                self.broken = Some("a start was stored after the job's end");
            }
        }
        if before.is_some() && before != Some(HeaderStage::Open) && self.head() != before {
            self.broken = Some("a final state was taken back");
        }
        Vec::new()
    }

    /// A user is told this, who knew that much when the question was asked.
    fn tell(&mut self, knew: Option<HeaderStage>, answer: Option<HeaderStage>) {
        if !self.follows {
            return;
        }
        let ended = |s| matches!(s, Some(HeaderStage::Done | HeaderStage::Cancelled));
        if knew.is_some() && answer.is_none() || ended(knew) && answer != knew {
            self.broken = Some("an answer is older than one given before it was asked for");
        }
        if answer == Some(HeaderStage::Cancelled) && self.head() != answer {
            self.broken = Some("a job is called cancelled that is not");
        }
        if answer.is_some() && !ended(self.told) {
            self.told = answer;
        }
    }

    fn ask(&mut self, knew: Option<HeaderStage>, cancels: bool) {
        let shown = None;
        self.question = self.follows.then_some(Question {
            knew,
            shown,
            cancels,
        });
    }

    fn look(&mut self) {
        let has = |key: String| self.keys.contains_key(&key);
        let over = matches!(
            self.head(),
            Some(HeaderStage::Done | HeaderStage::Cancelled)
        );
        if over
            && has(job_records::submission_key(&id()))
            && !has(job_records::job_outcome_key(&id()))
        {
            self.broken = Some("a job that is over looks open to a successor");
        }
        if self.head() == Some(HeaderStage::Done) && !self.complete {
            self.broken = Some("a job is called done before its task is");
        }
        if let Some(attempt) = self.running
            && !self.places().contains(&attempt)
        {
            self.broken = Some("a task runs that no record has");
        }
    }

    /// What a leader reads when it takes office.
    fn load(&self) -> Option<Job> {
        let (value, version) = self.keys.get(&job_records::submission_key(&id()))?;
        let mut job = SubmissionAssembler::default().assemble(&id(), Version(*version), value)?;
        if let Some((value, version)) = self.keys.get(&job_records::chunk_key(&id(), 0)) {
            job.load_chunk(0, Version(*version), value).ok()?;
        }
        job.outcome = self.end();
        if job.outcome.is_none() && job.done.len() == 1 {
            job.outcome = Some(JobOutcome::Done { written: false });
        }
        Some(job)
    }

    fn end(&self) -> Option<JobOutcome> {
        let (value, _) = self.keys.get(&job_records::job_outcome_key(&id()))?;
        Some(match job_records::read_record::<JobHeader>(value)?.stage {
            HeaderStage::Done => JobOutcome::Done { written: true },
            _ => JobOutcome::Cancelled,
        })
    }

    /// The leader's transaction was answered with this.
    fn answered(
        &mut self,
        wrong: Wrong,
        txn: &Transaction,
        kind: Kind,
        failed: &[String],
        revision: u64,
    ) {
        let own = self.own(wrong, txn, failed);
        let Some(l) = &mut self.leader else { return };
        let doubtful = std::mem::take(&mut l.doubtful);
        l.flight = None;
        let (failed, revision) = match own.filter(|_| doubtful) {
            Some(version) => (&[][..], version),
            None => (failed, revision),
        };
        if !failed.is_empty() {
            let head = failed.contains(&job_records::job_header_key(&id()));
            let other = failed
                .iter()
                .any(|k| *k != job_records::job_header_key(&id()));
            if doubtful || other {
                self.leader = None;
            } else if head && let (Kind::Chunk(_), Some(job)) = (kind, &mut l.job) {
                job.outcome = Some(JobOutcome::Cancelled);
                job.assignments.retain(|_, p| !p.is_unsent());
            }
            return;
        }
        let Some(job) = &mut l.job else { return };
        match kind {
            Kind::Chunk(change) => {
                let c = job.chunks.entry(0).or_default();
                c.version = Version(revision);
                c.last_stored_change = c.last_stored_change.max(change);
                job.unstored_done.retain(|_, n| *n > change);
            }
            Kind::Finish => job.outcome = Some(JobOutcome::Done { written: true }),
            Kind::Close | Kind::Drop(true) => l.job = None,
            Kind::Drop(false) => {
                let gone = |key: &str| {
                    let deletes =
                        |op: &Operation| matches!(op, Operation::Delete { key: k } if k == key);
                    txn.ops.iter().any(deletes)
                };
                job.chunks
                    .retain(|&c, _| !gone(&job_records::chunk_key(&id(), c)));
            }
        }
    }

    /// The version at which a refused repeat finds that its first try went through.
    fn own(&self, wrong: Wrong, txn: &Transaction, failed: &[String]) -> Option<u64> {
        if failed.iter().any(|k| k == HOLDER) {
            return None;
        }
        if wrong == Wrong::RefusedIsOwn {
            return Some(self.revision);
        }
        let any = wrong == Wrong::AnyRecordIsOwn;
        let put = txn.ops.iter().find_map(|op| match op {
            Operation::Put { key, value, .. } if failed.contains(key) || any => Some((key, value)),
            _ => None,
        });
        let (key, value) = put?;
        let before = txn.conditions.iter().find(|c| c.key == *key)?.version.0;
        let (found, version) = self.keys.get(key)?;
        let newer = *version > before && found == value;
        (newer || any).then_some(*version)
    }

    /// What the leader writes next, if anything.
    fn gather(&self) -> Option<(Transaction, Kind)> {
        let l = self.leader.as_ref()?;
        let job = l.job.as_ref()?;
        let level = KNOWN_VERSIONS.last().unwrap().version;
        let chunk = job.chunks.get(&0).copied().unwrap_or_default();
        let (mut conditions, ops, kind) = match job.outcome {
            Some(JobOutcome::Done { written: false }) if job.assignments.is_empty() => {
                let write = job.write_done_and_delete();
                (write.preconditions, write.operations, Kind::Close)
            }
            Some(JobOutcome::Done { written: false }) => {
                let write = job.write_done();
                (write.preconditions, write.operations, Kind::Finish)
            }
            Some(_) if job.assignments.is_empty() => {
                // Room for a part of it only, where there is a part.
                let room = (job.keys().len() - 1).max(2);
                let (ops, last) = job.delete_records(room);
                (Vec::new(), ops, Kind::Drop(last))
            }
            None if chunk.last_change > chunk.last_stored_change => {
                let write = job.write_chunk(SIZE, 0, level);
                (
                    write.preconditions,
                    write.operations,
                    Kind::Chunk(chunk.last_change),
                )
            }
            _ => return None,
        };
        let holds = Precondition {
            key: HOLDER.into(),
            version: Version(l.token),
        };
        conditions.insert(0, holds);
        let txn = Transaction { conditions, ops };
        (!txn.ops.is_empty()).then_some((txn, kind))
    }

    /// Sends a transaction; whether it was carried out, if the sender hears of it.
    fn send(&mut self, txn: &Transaction, outcome: Outcome) -> Option<Vec<String>> {
        if outcome != Outcome::Answered {
            self.losses -= 1;
        }
        match outcome {
            Outcome::Answered => Some(self.apply(txn)),
            Outcome::AnswerLost => {
                self.apply(txn);
                None
            }
            Outcome::Late => {
                self.late.push(txn.clone());
                None
            }
        }
    }

    fn next(&self, wrong: Wrong) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut w = self.clone();
            change(&mut w);
            w.look();
            out.push(w);
        };
        let lost = [Outcome::AnswerLost, Outcome::Late];
        let outcomes = || {
            let lost = lost.into_iter().filter(|_| self.losses > 0);
            lost.chain([Outcome::Answered])
        };
        for n in 0..self.late.len() {
            step(&|w| {
                let txn = w.late.remove(n);
                w.apply(&txn);
            });
        }
        // A user, through any node.
        if self.submits > 0 && self.question.is_none() {
            let limits = TransactionLimits {
                ops: 48,
                value_bytes: 8192,
            };
            let txn = job_records::accept_transaction(&spec(), WallTime(0), limits).unwrap();
            for outcome in outcomes() {
                step(&|w| {
                    w.submits -= 1;
                    let knew = w.told;
                    let taken = w.send(&txn, outcome);
                    if taken.as_ref().is_some_and(Vec::is_empty) {
                        w.seen_open = w.follows;
                        return w.tell(knew, Some(HeaderStage::Open));
                    }
                    let guess = match &taken {
                        Some(_) => wrong == Wrong::ConflictIsOpen,
                        None => wrong == Wrong::LostIsAccepted,
                    };
                    if guess {
                        return w.tell(knew, Some(HeaderStage::Open));
                    }
                    w.ask(knew, false);
                });
            }
        }
        if self.cancels > 0
            && self.read.is_none()
            && let Some((value, version)) = self.keys.get(&job_records::job_header_key(&id()))
            && let Some(head) = job_records::read_record::<JobHeader>(value)
                .filter(|h| h.stage == HeaderStage::Open)
        {
            step(&|w| w.read = Some((head, Version(*version))));
        }
        if let Some((head, version)) = self.read {
            let txn = job_records::cancel_transaction(&id(), head, version);
            for outcome in outcomes() {
                step(&|w| {
                    w.read = None;
                    w.cancels -= 1;
                    let knew = w.told;
                    let taken = w.send(&txn, outcome);
                    let guess = taken.is_none() && wrong == Wrong::LostIsCancelled;
                    if guess || taken.is_some_and(|failed| failed.is_empty()) {
                        return w.tell(knew, Some(HeaderStage::Cancelled));
                    }
                    w.ask(knew, true);
                });
            }
        }
        // Somebody asks, at any node; a read is sent, and answered some time.
        if self.questions > 0 && self.question.is_none() {
            step(&|w| {
                w.questions -= 1;
                let knew = w.told;
                if wrong == Wrong::SeenIsOpen && w.seen_open {
                    return w.tell(knew, Some(HeaderStage::Open));
                }
                w.ask(knew, false);
            });
        }
        if let Some(q) = self.question {
            match q.shown {
                None => step(&|w| {
                    let shown = Some(w.head());
                    w.question = Some(Question { shown, ..q });
                }),
                Some(answer) => step(&|w| {
                    w.question = None;
                    w.seen_open |= answer == Some(HeaderStage::Open);
                    // A job that is not there after a submission without an answer may
                    // still be accepted, and one that is open after a cancellation still
                    // be cancelled: the user is told to ask again.
                    if answer.is_some() && !(q.cancels && answer == Some(HeaderStage::Open)) {
                        w.tell(q.knew, answer);
                    }
                }),
            }
        }
        // Somebody takes the key, and loads.
        if self.lives > 0 {
            step(&|w| {
                w.lives -= 1;
                w.revision += 1;
                let token = w.revision;
                w.keys.insert(HOLDER.into(), (Value::Null, token));
                w.leader = Some(Leader {
                    token,
                    job: w.load(),
                    flight: None,
                    doubtful: false,
                });
            });
        }
        let Some(l) = &self.leader else { return out };
        // Its watch tells, some time.
        step(&|w| {
            let (end, loaded) = (w.end(), w.load());
            let Some(l) = &mut w.leader else { return };
            match &mut l.job {
                None => l.job = loaded.filter(|j| j.outcome.is_none()),
                Some(job) if end == Some(JobOutcome::Cancelled) && job.outcome != end => {
                    job.outcome = end;
                    job.assignments.retain(|_, p| !p.is_unsent());
                }
                Some(_) => {}
            }
        });
        match &l.flight {
            Some((txn, kind)) => {
                for outcome in outcomes() {
                    step(&|w| match w.send(txn, outcome) {
                        Some(failed) => w.answered(wrong, txn, *kind, &failed, w.revision),
                        None => {
                            if let Some(l) = &mut w.leader {
                                l.doubtful = true;
                            }
                        }
                    });
                }
            }
            None => {
                if let Some(flight) = self.gather() {
                    step(&|w| {
                        if let Some(l) = &mut w.leader {
                            l.flight = Some(flight.clone());
                        }
                    });
                }
            }
        }
        let Some(job) = &l.job else { return out };
        let with = |w: &mut World, change: &dyn Fn(&mut Job)| {
            if let Some(job) = w.leader.as_mut().and_then(|l| l.job.as_mut()) {
                change(job);
            }
        };
        let place = job.assignments.get(&0);
        if job.is_open() && place.is_none() && job.waiting.contains(0) && job.attempt.0 < 2 {
            step(&|w| {
                with(w, &|job| {
                    job.waiting.remove(0);
                    job.attempt = Attempt(job.attempt.0 + 1);
                    let change = job.record_change(SIZE, 0);
                    let here = Assignment {
                        change,
                        phase: AssignmentPhase::Unsent,
                        ..Assignment::inherited("host-1".into(), AgentEpoch(1), job.attempt)
                    };
                    job.assignments.insert(0, here);
                });
            });
        }
        if let Some(p) = place {
            let leaves = |job: &mut Job| {
                job.assignments.remove(&0);
                job.record_change(SIZE, 0);
            };
            if p.is_unsent() && job.is_open() && job.is_stored(SIZE, 0, p.change) {
                let attempt = p.attempt.0;
                step(&|w| {
                    w.running = Some(attempt);
                    with(w, &|job| {
                        if let Some(p) = job.assignments.get_mut(&0) {
                            p.phase = AssignmentPhase::Inherited;
                        }
                    });
                });
            }
            if !p.is_unsent() {
                // It completes, is halted, or its machine is lost: proved, and heard.
                if self.running == Some(p.attempt.0) {
                    step(&|w| {
                        (w.running, w.complete) = (None, true);
                        with(w, &|job| {
                            leaves(job);
                            job.done.insert(0);
                            if job.outcome.is_none() {
                                job.outcome = Some(JobOutcome::Done { written: false });
                            }
                        });
                    });
                }
                step(&|w| {
                    w.running = None;
                    with(w, &|job| {
                        leaves(job);
                        if job.is_open() {
                            job.waiting.insert(0);
                        }
                    });
                });
            }
        }
        out
    }
}

/// Looks through every order; how many worlds there were, and what broke.
/// With `follows`, what users are told meanwhile, at any node, under one leader; else
/// with a successor.
fn explore(wrong: Wrong, follows: bool) -> (usize, Option<&'static str>) {
    let first = World {
        revision: 1,
        keys: BTreeMap::from([(HOLDER.into(), (Value::Null, 1))]),
        losses: 2,
        submits: 2,
        cancels: 1,
        questions: u8::from(follows),
        follows,
        lives: u8::from(!follows),
        leader: Some(Leader {
            token: 1,
            job: None,
            flight: None,
            doubtful: false,
        }),
        ..World::default()
    };
    let print = |w: &World| {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut h = DefaultHasher::new();
        format!("{w:?}").hash(&mut h);
        h.finish()
    };
    let mut seen = HashSet::from([print(&first)]);
    let mut todo = vec![first];
    while let Some(world) = todo.pop() {
        for next in world.next(wrong) {
            if let Some(what) = next.broken {
                return (seen.len(), Some(what));
            }
            assert!(seen.len() < MOST, "more worlds than meant");
            if seen.insert(print(&next)) {
                todo.push(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn no_order_of_late_writes_does_harm() {
    for (follows, who) in [(false, "a successor"), (true, "readers at other nodes")] {
        let (worlds, broken) = explore(Wrong::Nothing, follows);
        println!("{worlds} worlds: two transactions late or unanswered, {who}");
        assert_eq!(broken, None);
        assert!(worlds > 10_000, "{worlds}");
    }
}

// Without any one of what the writes compare there is an order that does harm.
#[test]
fn each_comparison_is_needed() {
    for off in [
        SafetyCheck::RecordsCompareVersions,
        SafetyCheck::StartsNeedAnOpenJob,
        SafetyCheck::OutcomeOutlivesSubmission,
    ] {
        disable_check(&[off]);
        let (worlds, broken) = explore(Wrong::Nothing, false);
        disable_check(&[]);
        println!("{off:?}: {broken:?} after {worlds} worlds");
        assert!(broken.is_some(), "{off:?} was not missed");
    }
}

// Whatever is tempting to make of an answer that is missing, or of a refused repeat, has an
// order in which somebody is told wrong or a task runs that no record has.
#[test]
fn no_guess_does_for_a_read() {
    for (wrong, follows) in [
        (Wrong::ConflictIsOpen, true),
        (Wrong::LostIsAccepted, true),
        (Wrong::LostIsCancelled, true),
        (Wrong::SeenIsOpen, true),
        (Wrong::RefusedIsOwn, false),
        (Wrong::AnyRecordIsOwn, false),
    ] {
        let (worlds, broken) = explore(wrong, follows);
        println!("{wrong:?}: {broken:?} after {worlds} worlds");
        assert!(broken.is_some(), "{wrong:?} was not missed");
    }
}
