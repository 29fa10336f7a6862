//! The verdict. The checker hears what users were told, what ran on machines
//! and what the cloud rented, and never a controller's own word. It knows the
//! rules of the users' protocol and one more: every accepted job ends in
//! exactly one final answer.

use crate::script::{Cluster, Team};
use pebblefold_controller::types::{Resources, Time, TimeSpan};
use pebblefold_controller::wire::users::{JobShape, JobStage, Submission};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// For how long every poll for a job may fail while most others are answered.
const FORGOTTEN_AFTER: TimeSpan = TimeSpan::millis(90_000);

/// Time between looks for jobs that nobody answers for.
const LOOK: TimeSpan = TimeSpan::millis(1000);

/// What a user asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Takes the job.
    Submit,
    /// How is it?
    Poll,
    /// Ends the job.
    Cancel,
}

/// Something that users, machines or cloud saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A machine is there, with its zone, type and kind.
    Machine {
        /// Its name.
        machine: String,
        /// Its zone.
        zone: String,
        /// Its type.
        kind: String,
        /// Spot or ordinary.
        spot: bool,
    },
    /// A user asked.
    Asked {
        /// The job.
        job: String,
        /// What.
        what: Ask,
    },
    /// A user got an answer; `None`: none came in time.
    Told {
        /// The job.
        job: String,
        /// To what.
        what: Ask,
        /// When it was asked.
        asked: Time,
        /// The status.
        status: Option<u16>,
        /// The stage that the answer names.
        stage: Option<JobStage>,
    },
    /// A request that is to be refused was answered.
    Odd {
        /// The job that it names.
        job: String,
        /// With which status.
        wanted: u16,
        /// How it was; `None`: no answer came in time.
        status: Option<u16>,
    },
    /// A user waits no longer for a submission to be taken.
    GaveUp {
        /// The job.
        job: String,
    },
    /// A task has its image and is on its machine from now on.
    On {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
    },
    /// It is not any more.
    Off {
        /// The machine.
        machine: String,
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
        /// Why.
        why: &'static str,
    },
    /// It runs: at once, or with its gang.
    Runs {
        /// The task.
        task: String,
    },
    /// Its work is complete.
    Done {
        /// The task.
        task: String,
    },
    /// Something went wrong on purpose.
    Fault {
        /// What.
        what: String,
    },
}

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task starts on one machine while it is on another.
    RanTwice,
    /// A team's tasks use more than its limit.
    Quota,
    /// A task starts where its job does not allow it.
    WrongPlace,
    /// A cancelled job's task is on a machine too late.
    RanCancelled,
    /// An accepted job is not known any more.
    Forgotten,
    /// A job that nobody submitted is known.
    Invented,
    /// A job is called done before its tasks are.
    NotDone,
    /// A final answer is taken back.
    WentBack,
    /// Nothing was started.
    NothingRan,
    /// A job waits beside room that fits, long after the last trouble.
    LeftWaiting,
    /// An accepted job has no final answer at the end.
    Unfinished,
    /// The interfaces are not used as agreed.
    Protocol,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = serde_json::to_value(self).unwrap_or_default();
        f.write_str(name.as_str().unwrap_or_default())
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in seconds.
    pub at_s: f64,
    /// The job, if it is about one.
    pub job: String,
    /// What happened.
    pub what: String,
}

/// A job as the checker follows it.
#[derive(Debug)]
struct Followed {
    spec: Submission,
    /// It comes from an earlier life of the stand-ins: what was done then was
    /// not seen.
    earlier: bool,
    accepted: bool,
    /// When its user first knew that it is accepted.
    known: Option<Time>,
    given_up: bool,
    submitted: Option<Time>,
    asked_cancel: bool,
    /// The final answer and when it was heard.
    last: Option<(JobStage, Time)>,
    done: BTreeSet<u32>,
    on: BTreeMap<u32, BTreeSet<String>>,
    first_run: Option<Time>,
    running: BTreeSet<u32>,
    finished: Option<Time>,
    failing_since: Option<Time>,
    /// When a poll was last answered.
    answered: Option<Time>,
    seen: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Place {
    zone: String,
    kind: String,
    spot: bool,
}

/// How a job went, for reports.
#[derive(Clone, Debug, Serialize)]
pub struct JobRecord {
    /// The job.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// When it was first submitted, in seconds.
    pub submitted_s: f64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// When its tasks first ran all together or, of an array, the first ran.
    pub started_s: Option<f64>,
    /// When its user heard of its end.
    pub ended_s: Option<f64>,
    /// The final answer.
    pub end: Option<JobStage>,
}

/// The checker.
#[derive(Debug)]
pub struct Checker {
    teams: Vec<Team>,
    cancel: TimeSpan,
    jobs: BTreeMap<String, Followed>,
    machines: BTreeMap<String, Place>,
    history: Vec<(Time, Seen)>,
    breaches: Vec<Breach>,
    /// Polls answered and not, lately.
    polls: VecDeque<(Time, bool)>,
    cancelled: BTreeMap<String, Time>,
    late: BTreeSet<(String, String)>,
    /// When polls that fail are next looked through.
    look: Time,
    starts: u64,
    /// Tasks that came on a machine after their job was confirmed as cancelled.
    starts_after_cancel: u64,
    used: BTreeMap<String, Resources>,
}

fn parts(task: &str) -> (&str, u32) {
    let (job, index) = task.rsplit_once('/').unwrap_or((task, "0"));
    (job, index.parse().unwrap_or(0))
}

impl Checker {
    /// A checker for a cluster's teams and times.
    pub fn new(cluster: &Cluster) -> Checker {
        Checker {
            teams: cluster.teams.clone(),
            cancel: TimeSpan::secs(cluster.workers.cancel_s),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            history: Vec::new(),
            breaches: Vec::new(),
            polls: VecDeque::new(),
            cancelled: BTreeMap::new(),
            late: BTreeSet::new(),
            look: Time(0),
            starts: 0,
            starts_after_cancel: 0,
            used: BTreeMap::new(),
        }
    }

    /// Makes a job known, as its user means to submit it.
    pub fn expect(&mut self, spec: Submission) {
        self.follow(spec, false);
    }

    /// Makes a job known that may have run before anybody watched.
    pub fn expect_again(&mut self, spec: Submission) {
        self.follow(spec, true);
    }

    fn follow(&mut self, spec: Submission, earlier: bool) {
        let job = Followed {
            earlier,
            accepted: false,
            known: None,
            given_up: false,
            submitted: None,
            asked_cancel: false,
            last: None,
            done: BTreeSet::new(),
            on: BTreeMap::new(),
            first_run: None,
            running: BTreeSet::new(),
            finished: None,
            failing_since: None,
            answered: None,
            seen: Vec::new(),
            spec,
        };
        self.jobs.insert(job.spec.id.to_string(), job);
    }

    /// Rules broken so far.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Tasks that began to run.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Tasks that came on a machine after their job's user was told that it is
    /// cancelled: within `cancel_s` no rule is broken, and nobody wants them.
    pub fn starts_after_cancel(&self) -> u64 {
        self.starts_after_cancel
    }

    /// Jobs that are accepted and not over, with how many of their tasks are done; not
    /// those that their users have asked to cancel.
    pub fn open(&self) -> impl Iterator<Item = (&Submission, u32)> {
        let open = |j: &&Followed| {
            j.accepted && j.last.is_none() && j.finished.is_none() && !j.asked_cancel
        };
        let jobs = self.jobs.values().filter(open);
        jobs.map(|j| (&j.spec, j.done.len() as u32))
    }

    /// A job has waited for so long although it could have started, with no trouble left.
    pub fn left_waiting(&mut self, now: Time, job: &str, waited: TimeSpan) {
        let text = format!("could start for {} s, and did not", waited.as_secs());
        self.breach(now, Rule::LeftWaiting, job, text);
    }

    /// Teams and their limits.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Whether the work of all of a job's tasks is complete.
    pub fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(|j| j.finished.is_some())
    }

    /// What each team's tasks take now, on machines that can be reached or not.
    pub fn used(&self) -> &BTreeMap<String, Resources> {
        &self.used
    }

    /// Everything heard.
    pub fn history(&self) -> &[(Time, Seen)] {
        &self.history
    }

    fn breach(&mut self, now: Time, rule: Rule, job: &str, what: String) {
        // A rule broken again on the same job tells nothing new.
        if self.breaches.iter().any(|b| b.rule == rule && b.job == job) {
            return;
        }
        self.breaches.push(Breach {
            rule,
            at_s: now.0 as f64 / 1e6,
            job: job.into(),
            what,
        });
    }

    /// Notes a use of an interface that is not as agreed.
    pub fn protocol(&mut self, now: Time, what: String) {
        let job = what.clone();
        self.breach(now, Rule::Protocol, &job, what);
    }

    /// Hears of something.
    pub fn hear(&mut self, now: Time, seen: Seen) {
        let job = match &seen {
            Seen::Asked { job, .. } | Seen::Told { job, .. } | Seen::GaveUp { job } => {
                Some(job.clone())
            }
            Seen::On { task, .. }
            | Seen::Off { task, .. }
            | Seen::Runs { task }
            | Seen::Done { task } => Some(parts(task).0.to_string()),
            Seen::Machine { .. } | Seen::Fault { .. } | Seen::Odd { .. } => None,
        };
        let place = self.history.len();
        if let Some(j) = job.as_deref().and_then(|j| self.jobs.get_mut(j)) {
            j.seen.push(place);
        }
        self.history.push((now, seen.clone()));
        match seen {
            Seen::Machine {
                machine,
                zone,
                kind,
                spot,
            } => {
                self.machines.insert(machine, Place { zone, kind, spot });
            }
            Seen::Asked { job, what } => self.asked(now, &job, what),
            Seen::Told {
                job,
                what,
                asked,
                status,
                stage,
            } => self.told(now, &job, what, asked, status, stage),
            Seen::GaveUp { job } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.given_up = true;
                }
            }
            Seen::On { machine, task, .. } => self.on(now, &machine, &task),
            Seen::Off { machine, task, .. } => self.off(&machine, &task),
            Seen::Runs { task } => self.runs(now, &task),
            Seen::Done { task } => {
                let (job, index) = parts(&task);
                if let Some(j) = self.jobs.get_mut(job) {
                    j.done.insert(index);
                    if j.done.len() as u32 == j.spec.tasks {
                        j.finished.get_or_insert(now);
                    }
                }
            }
            Seen::Odd {
                job,
                wanted,
                status,
            } => self.odd(now, &job, wanted, status),
            Seen::Fault { .. } => {}
        }
    }

    /// A request that is to be refused: at once, or by a node that cannot tell now.
    fn odd(&mut self, now: Time, job: &str, wanted: u16, status: Option<u16>) {
        match status {
            Some(s @ (200 | 201)) => {
                let text = format!("answered {s}, and it cannot run");
                self.breach(now, Rule::Invented, job, text);
            }
            Some(s @ 400..500) if s != wanted && s != 429 => {
                let text = format!("refused with {s} instead of {wanted}");
                self.breach(now, Rule::Protocol, job, text);
            }
            _ => {}
        }
    }

    fn asked(&mut self, now: Time, job: &str, what: Ask) {
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        match what {
            Ask::Submit => {
                j.submitted.get_or_insert(now);
            }
            Ask::Cancel => j.asked_cancel = true,
            Ask::Poll => {}
        }
    }

    fn told(
        &mut self,
        now: Time,
        job: &str,
        what: Ask,
        asked: Time,
        status: Option<u16>,
        stage: Option<JobStage>,
    ) {
        let answered = matches!(status, Some(200 | 201 | 404));
        if what == Ask::Poll {
            self.polls.push_back((now, answered));
        }
        let Some(j) = self.jobs.get_mut(job) else {
            if status == Some(200) {
                self.breach(
                    now,
                    Rule::Invented,
                    job,
                    "a job nobody submitted is known".into(),
                );
            }
            return;
        };
        let mut broken: Vec<(Rule, String)> = Vec::new();
        if what == Ask::Poll {
            if answered {
                j.failing_since = None;
                j.answered = Some(now);
            } else if j.accepted && j.answered.is_none_or(|t| t < asked) {
                // Of several at once one may have been answered: then not every one since
                // it was asked has failed.
                j.failing_since.get_or_insert(asked);
            }
        }
        match (status, stage) {
            (Some(200 | 201), Some(stage)) => {
                j.accepted = true;
                j.known.get_or_insert(now);
                // Only what was asked after the user knew may not be older.
                if let Some((last, known)) = j.last
                    && last != stage
                    && asked > known
                {
                    let text = format!("called {last:?}, later {stage:?}");
                    broken.push((Rule::WentBack, text));
                }
                match stage {
                    JobStage::Done if !j.earlier && (j.done.len() as u32) < j.spec.tasks => {
                        let text = format!("{} of {} tasks are done", j.done.len(), j.spec.tasks);
                        broken.push((Rule::NotDone, text));
                    }
                    JobStage::Cancelled if !j.asked_cancel => {
                        let text = "called cancelled, and its user did not cancel it";
                        broken.push((Rule::WentBack, text.into()));
                    }
                    _ => {}
                }
                if matches!(stage, JobStage::Done | JobStage::Cancelled) && j.last.is_none() {
                    j.last = Some((stage, now));
                    if stage == JobStage::Cancelled {
                        self.cancelled.insert(job.into(), now);
                    }
                }
            }
            (Some(404), _) if j.known.is_some_and(|k| asked > k) && what != Ask::Submit => {
                broken.push((Rule::Forgotten, "accepted, later answered 404".into()));
            }
            (Some(s @ (400 | 422)), _) if what == Ask::Submit => {
                let text = if j.accepted {
                    format!("submitted again: answered {s}")
                } else {
                    format!("a valid job is answered {s}")
                };
                let rule = if j.accepted {
                    Rule::Forgotten
                } else {
                    Rule::Protocol
                };
                broken.push((rule, text));
            }
            _ => {}
        }
        for (rule, text) in broken {
            self.breach(now, rule, job, text);
        }
    }

    fn on(&mut self, now: Time, machine: &str, task: &str) {
        let (job, index) = parts(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return self.breach(
                now,
                Rule::Protocol,
                job,
                format!("{task}: a job nobody submitted runs"),
            );
        };
        let mut broken: Vec<(Rule, String)> = Vec::new();
        let here = j.on.entry(index).or_default();
        if let Some(other) = here.iter().find(|m| *m != machine) {
            broken.push((
                Rule::RanTwice,
                format!("{task} starts on {machine} while on {other}"),
            ));
        }
        let added = here.insert(machine.into());
        let spec = j.spec.clone();
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for m in j.on.values().flatten() {
            if let Some(p) = self.machines.get(m) {
                *zones.entry(&p.zone).or_default() += 1;
            }
        }
        if let Some(p) = self.machines.get(machine) {
            let most = zones.values().max().copied().unwrap_or(0);
            let wrong = if p.spot && !spec.spot {
                Some("a spot machine".to_string())
            } else if spec
                .kinds
                .as_ref()
                .is_some_and(|k| k.iter().all(|k| k.as_str() != p.kind))
            {
                Some(format!("type {}", p.kind))
            } else if spec.zone.as_ref().is_some_and(|z| z.as_str() != p.zone) {
                Some(format!("zone {}", p.zone))
            } else if spec.one_zone && zones.len() > 1 {
                Some(format!("{} zones at once", zones.len()))
            } else if spec.spread && most > spec.tasks.div_ceil(2) {
                Some(format!("{most} of {} tasks in one zone", spec.tasks))
            } else {
                None
            };
            if let Some(why) = wrong {
                broken.push((
                    Rule::WrongPlace,
                    format!("{task} starts on {machine}: {why}"),
                ));
            }
        } else {
            broken.push((Rule::Protocol, format!("{task} on unknown {machine}")));
        }
        if added {
            let used = self.used.entry(spec.team.to_string()).or_default();
            *used += spec.needs();
            let used = *used;
            let limit = self.teams.iter().find(|t| t.name == spec.team.as_str());
            let over = |limit: f64, used: f64| limit > 0.0 && used > limit + 1e-6;
            if limit.is_some_and(|l| over(l.gpus_max, used.gpus) || over(l.cpus_max, used.cpus)) {
                let text = format!("{} uses {} GPUs, {} CPUs", spec.team, used.gpus, used.cpus);
                broken.push((Rule::Quota, text));
            }
        }
        self.starts_after_cancel += u64::from(self.cancelled.contains_key(job));
        if self
            .cancelled
            .get(job)
            .is_some_and(|at| now.since(*at) > self.cancel)
        {
            broken.push((Rule::RanCancelled, format!("{task} starts on {machine}")));
        }
        for (rule, text) in broken {
            self.breach(now, rule, job, text);
        }
    }

    fn off(&mut self, machine: &str, task: &str) {
        let (job, index) = parts(task);
        let Some(j) = self.jobs.get_mut(job) else {
            return;
        };
        j.running.remove(&index);
        if j.on.get_mut(&index).is_some_and(|m| m.remove(machine)) {
            if j.on.get(&index).is_some_and(BTreeSet::is_empty) {
                j.on.remove(&index);
            }
            let needs = j.spec.needs();
            if let Some(used) = self.used.get_mut(j.spec.team.as_str()) {
                *used -= needs;
            }
        }
    }

    fn runs(&mut self, now: Time, task: &str) {
        self.starts += 1;
        let (job, index) = parts(task);
        if let Some(j) = self.jobs.get_mut(job) {
            j.running.insert(index);
            let whole = j.running.len() as u32 == j.spec.tasks;
            if whole || j.spec.shape == JobShape::Array {
                j.first_run.get_or_insert(now);
            }
        }
    }

    /// Lets time pass: looks for what is wrong by its lasting too long.
    pub fn pass(&mut self, now: Time) {
        if now >= self.look {
            self.look = now + LOOK;
            self.find_forgotten(now);
        }
        let mut late = Vec::new();
        for (id, at) in &self.cancelled {
            if now.since(*at) <= self.cancel {
                continue;
            }
            for m in self
                .jobs
                .get(id)
                .into_iter()
                .flat_map(|j| j.on.values().flatten())
            {
                late.push((id.clone(), m.clone()));
            }
        }
        for (id, machine) in late {
            if self.late.insert((id.clone(), machine.clone())) {
                self.breach(now, Rule::RanCancelled, &id, format!("still on {machine}"));
            }
        }
    }

    fn find_forgotten(&mut self, now: Time) {
        while self
            .polls
            .front()
            .is_some_and(|(t, _)| now.since(*t) > FORGOTTEN_AFTER)
        {
            self.polls.pop_front();
        }
        let answered = self.polls.iter().filter(|(_, ok)| *ok).count();
        let most_answered = answered * 2 > self.polls.len();
        let forgotten: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                most_answered
                    && j.failing_since
                        .is_some_and(|t| now.since(t) > FORGOTTEN_AFTER)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in forgotten {
            self.breach(
                now,
                Rule::Forgotten,
                &id,
                "every poll failed for 90 s".into(),
            );
        }
    }

    /// Whether every job has its final answer.
    pub fn all_over(&self) -> bool {
        self.jobs
            .values()
            .all(|j| j.last.is_some() || (j.given_up && !j.accepted))
    }

    /// The end: what is still open counts.
    pub fn finish(&mut self, now: Time) {
        self.pass(now);
        if self.starts == 0 {
            self.breach(now, Rule::NothingRan, "", "no task was started".into());
        }
        let open: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.accepted && j.last.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            self.breach(
                now,
                Rule::Unfinished,
                &id,
                "accepted, and no final answer".into(),
            );
        }
    }

    /// Jobs accepted, done, cancelled, and given up by their users.
    pub fn counts(&self) -> (usize, usize, usize, usize) {
        let ended = |s: JobStage| {
            self.jobs
                .values()
                .filter(|j| j.last.is_some_and(|l| l.0 == s))
                .count()
        };
        let accepted = self.jobs.values().filter(|j| j.accepted).count();
        let given_up = self
            .jobs
            .values()
            .filter(|j| j.given_up && !j.accepted)
            .count();
        (
            accepted,
            ended(JobStage::Done),
            ended(JobStage::Cancelled),
            given_up,
        )
    }

    /// Jobs of each class that wait and run, by what their users and machines
    /// saw.
    pub fn by_class(&self) -> BTreeMap<String, (u32, u32)> {
        let mut out: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for j in self.jobs.values() {
            let n = out.entry(j.spec.class.to_string()).or_default();
            if j.submitted.is_none() || j.last.is_some() || j.finished.is_some() {
                continue;
            }
            if j.running.is_empty() {
                n.0 += 1;
            } else {
                n.1 += 1;
            }
        }
        out
    }

    /// How each job went.
    pub fn records(&self) -> Vec<JobRecord> {
        let secs = |t: Time| t.0 as f64 / 1e6;
        let jobs = self.jobs.iter();
        jobs.filter(|(_, j)| j.submitted.is_some())
            .map(|(id, j)| JobRecord {
                job: id.clone(),
                class: j.spec.class.to_string(),
                team: j.spec.team.to_string(),
                submitted_s: j.submitted.map_or(0.0, secs),
                accepted: j.accepted,
                started_s: j.first_run.map(secs),
                ended_s: j.last.map(|l| secs(l.1)),
                end: j.last.map(|l| l.0),
            })
            .collect()
    }

    /// The history of one job alone, a line each.
    pub fn history_of(&self, job: &str) -> Vec<String> {
        let seen = self
            .jobs
            .get(job)
            .map(|j| j.seen.as_slice())
            .unwrap_or_default();
        seen.iter()
            .filter_map(|&i| self.history.get(i))
            .map(|(t, s)| format!("{:>9.3} s  {}", t.0 as f64 / 1e6, describe(s)))
            .collect()
    }
}

fn describe(s: &Seen) -> String {
    match s {
        Seen::Machine { machine, zone, .. } => format!("{machine} is up in {zone}"),
        Seen::Asked { what, .. } => format!("its user asks: {what:?}"),
        Seen::Told {
            what,
            status: Some(status),
            stage,
            ..
        } => {
            let stage = stage.map_or(String::new(), |s| format!(" {s:?}"));
            format!("its user is told, to {what:?}: {status}{stage}")
        }
        Seen::Told { what, .. } => format!("no answer to {what:?}"),
        Seen::Odd { job, status, .. } => format!("{job}, which cannot run, is answered {status:?}"),
        Seen::GaveUp { .. } => "its user gives up submitting it".into(),
        Seen::On {
            machine,
            task,
            attempt,
        } => format!("{task} attempt {attempt} is on {machine}"),
        Seen::Off {
            machine,
            task,
            attempt,
            why,
        } => format!("{task} attempt {attempt} leaves {machine}: {why}"),
        Seen::Runs { task } => format!("{task} runs"),
        Seen::Done { task } => format!("{task} is complete"),
        Seen::Fault { what } => format!("fault: {what}"),
    }
}
