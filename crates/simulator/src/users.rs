//! Users and the load balancer, by the users' protocol: submissions that are
//! retried, polls, cancellations, and polls for jobs that nobody submitted.

use crate::checker::{HistoryEvent, RequestKind};
use crate::script::{JobShape, Jobs, Script};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::users::{JobStage, JobStatus, Submission};
use pebblefold_controller::wire::{decode, encode};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, VecDeque};

/// How long a user waits for an answer to a submission or a cancellation.
const PATIENCE: TimeSpan = TimeSpan::millis(5000);
/// How long for an answer to a poll.
const POLL_PATIENCE: TimeSpan = TimeSpan::millis(2000);
/// Time between polls.
const POLL_EVERY: TimeSpan = TimeSpan::millis(5000);
/// Time between polls of a job that is over, as some users go on asking.
const POLL_OVER: TimeSpan = TimeSpan::millis(60_000);
/// For how long a submission is retried.
const RETRIES: TimeSpan = TimeSpan::millis(60_000);
/// Longest pause that a user takes on a node's word.
const MOST_RETRY_AFTER: u32 = 30;
/// Time between polls for jobs that nobody submitted.
const GHOST_EVERY: TimeSpan = TimeSpan::millis(20_000);
/// Time between odd requests.
const ODD_EVERY: TimeSpan = TimeSpan::millis(400);
/// Time between the load balancer's probes, and how long one waits.
const PROBE_EVERY: TimeSpan = TimeSpan::millis(1000);
/// Nodes tried for one connection.
const TRIES: u32 = 3;

/// A job to come: what is submitted, and what only the stand-ins know.
#[derive(Clone, Debug)]
pub struct Planned {
    /// The job.
    pub spec: Submission,
    /// How long a task really runs.
    pub run_s: f64,
    /// When it is submitted.
    pub at: Time,
    /// When its user cancels it, if so.
    pub cancel_at: Option<Time>,
    /// Whether each of its tasks fails as soon as it has its image.
    pub mistaken: bool,
}

/// The jobs of a script, with all that is left to chance decided.
pub fn plan(script: &Script, rng: &mut StdRng) -> Vec<Planned> {
    let mut out = Vec::new();
    for jobs in &script.jobs {
        for i in 0..jobs.count {
            let n = out.len() as u32 + 1;
            out.push(planned(script, jobs, i, n, rng));
        }
    }
    out.sort_by_key(|p| p.at);
    out
}

fn planned(script: &Script, j: &Jobs, i: u32, n: u32, rng: &mut StdRng) -> Planned {
    let share = f64::from(i) / f64::from(j.count.max(1));
    let at = Time(0) + TimeSpan::secs(j.from_s + j.over_s * share);
    let tasks = j.tasks.pick(rng.random()).round().max(1.0) as u32;
    let run_s = j.run_s.pick(rng.random());
    let estimate_s = if j.shape == JobShape::Service {
        0.0
    } else {
        run_s * j.guess.pick(rng.random())
    };
    let spec = Submission {
        id: format!("wk-{n:06}").into(),
        class: j.class.as_str().into(),
        team: j.team.as_str().into(),
        shape: j.shape.into(),
        priority: j.priority.into(),
        tasks,
        cpus: j.cpus,
        gpus: j.gpus,
        memory_gb: j.memory_gb,
        image: format!("{}-{}", j.class, rng.random_range(0..j.images.max(1))).into(),
        image_gb: j.image_gb,
        kinds: None,
        zone: j.zone.as_deref().map(Into::into),
        one_zone: j.one_zone,
        spread: j.spread,
        spot: j.spot,
        estimate_s,
        checkpoint_s: j.checkpoint_s,
        save_s: j.save_s,
        deadline_s: j.deadline.map(|d| d * estimate_s.max(1.0)),
    };
    // Services end only by their users; before the rehearsal does.
    let cancel_at = if j.shape == JobShape::Service {
        Some((at + TimeSpan::secs(run_s)).min(Time(0) + script.length().scaled(0.8)))
    } else if rng.random_bool(j.cancelled.clamp(0.0, 1.0)) {
        let random_s = run_s * rng.random_range(0.0..1.5);
        Some(at + TimeSpan::secs(j.cancel_after_s.unwrap_or(random_s)))
    } else {
        None
    };
    Planned {
        spec,
        run_s,
        at,
        cancel_at,
        mistaken: j.mistaken,
    }
}

/// A request to a controller's users' interface.
#[derive(Debug)]
pub struct UserRequest {
    /// Its ticket.
    pub ticket: u64,
    /// The controller.
    pub node: usize,
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// How long the user waits.
    pub patience: TimeSpan,
}

#[derive(Debug)]
enum Waiting {
    Job {
        job: String,
        what: RequestKind,
        asked: Time,
        tries: u32,
        node: usize,
        /// It is a further look: nothing follows from its answer.
        look: bool,
    },
    /// A request that is to be refused.
    Odd {
        job: String,
        wanted: u16,
    },
    Probe {
        node: usize,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Health {
    healthy: bool,
    ever: bool,
    good: u32,
    bad: u32,
    /// Not healthy again before this time.
    not_before: Time,
}

#[derive(Debug, Default)]
struct Job {
    body: Vec<u8>,
    first: Option<Time>,
    accepted: bool,
    over: bool,
    polling: bool,
}

/// All users and their load balancer.
#[derive(Debug)]
pub struct Users {
    plan: VecDeque<Planned>,
    jobs: BTreeMap<String, Job>,
    /// What is asked when: (time, number) to (job, what).
    due: BTreeMap<(Time, u64), (String, RequestKind)>,
    numbers: u64,
    waiting: BTreeMap<u64, (Time, Waiting)>,
    health: Vec<Health>,
    probe_due: Time,
    ghost_due: Time,
    /// Until when they look closely, and at which jobs next.
    looks_until: Time,
    looks: Vec<String>,
    /// Until when they send odd requests, and when the next.
    odd_until: Time,
    odd_due: Time,
    seen: Vec<HistoryEvent>,
    out: Vec<UserRequest>,
    /// Milliseconds that accepted submissions took from their first attempt.
    pub accept_ms: Vec<u64>,
}

mod odd;

impl Users {
    /// Users with these plans, and so many controllers.
    pub fn new(plan: Vec<Planned>, nodes: usize) -> Users {
        Users {
            plan: plan.into(),
            jobs: BTreeMap::new(),
            due: BTreeMap::new(),
            numbers: 0,
            waiting: BTreeMap::new(),
            health: vec![Health::default(); nodes],
            probe_due: Time(0),
            ghost_due: Time(0) + GHOST_EVERY,
            looks_until: Time(0),
            looks: Vec::new(),
            odd_until: Time(0),
            odd_due: Time(0),
            seen: Vec::new(),
            out: Vec::new(),
            accept_ms: Vec::new(),
        }
    }

    /// Jobs still to be submitted.
    pub fn to_come(&self) -> usize {
        self.plan.len()
    }

    /// Adds a job by hand.
    pub fn add(&mut self, p: Planned) {
        let place = self.plan.partition_point(|q| q.at <= p.at);
        self.plan.insert(place, p);
    }

    /// What was seen since the last call.
    pub fn take_seen(&mut self) -> Vec<HistoryEvent> {
        std::mem::take(&mut self.seen)
    }

    fn ask_at(&mut self, at: Time, job: &str, what: RequestKind) {
        self.numbers += 1;
        self.due.insert((at, self.numbers), (job.into(), what));
    }

    /// Lets time pass; returns what is sent.
    pub fn advance(
        &mut self,
        now: Time,
        rng: &mut StdRng,
        mut ticket: impl FnMut() -> u64,
    ) -> Vec<UserRequest> {
        while self.plan.front().is_some_and(|p| now >= p.at)
            && let Some(p) = self.plan.pop_front()
        {
            let id = p.spec.id.to_string();
            let job = Job {
                body: encode(&p.spec),
                ..Job::default()
            };
            self.jobs.insert(id.clone(), job);
            self.ask_at(now, &id, RequestKind::Submit);
            if let Some(at) = p.cancel_at {
                self.ask_at(at, &id, RequestKind::Cancel);
            }
        }
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, (until, _))| now >= *until)
            .map(|(t, _)| *t)
            .collect();
        for t in late {
            self.answered(now, t, None, rng);
        }
        while let Some((&(at, n), _)) = self.due.first_key_value()
            && at <= now
            && let Some((job, what)) = self.due.remove(&(at, n))
        {
            self.ask(now, &job, what, 0, rng, &mut ticket);
        }
        if now >= self.ghost_due {
            self.ghost_due = now + GHOST_EVERY;
            let ghost = format!("wk-9{:05}", rng.random_range(0..100_000));
            self.ask(now, &ghost, RequestKind::Poll, 0, rng, &mut ticket);
        }
        if now < self.odd_until && now >= self.odd_due {
            self.odd_due = now + ODD_EVERY;
            self.ask_oddly(now, rng, &mut ticket);
        }
        if now >= self.probe_due {
            self.probe_due = now + PROBE_EVERY;
            for node in 0..self.health.len() {
                let t = ticket();
                self.waiting
                    .insert(t, (now + PROBE_EVERY, Waiting::Probe { node }));
                self.out.push(UserRequest {
                    ticket: t,
                    node,
                    method: "GET",
                    path: "/ready".into(),
                    body: Vec::new(),
                    patience: PROBE_EVERY,
                });
            }
        }
        std::mem::take(&mut self.out)
    }

    fn ask(
        &mut self,
        now: Time,
        id: &str,
        what: RequestKind,
        tries: u32,
        rng: &mut StdRng,
        mut ticket: &mut impl FnMut() -> u64,
    ) {
        if let Some(j) = self.jobs.get_mut(id) {
            if what == RequestKind::Cancel {
                // A user who is not sure that the job was taken asks until it is.
                if !j.accepted {
                    return self.ask_at(now + TimeSpan::millis(1000), id, what);
                }
            }
            if what == RequestKind::Submit {
                let first = *j.first.get_or_insert(now);
                if !j.accepted && now.since(first) > RETRIES {
                    self.seen
                        .push(HistoryEvent::SubmissionAbandoned { job: id.into() });
                    j.over = true;
                    return;
                }
            }
        }
        let healthy: Vec<usize> = (0..self.health.len())
            .filter(|&n| self.health[n].healthy)
            .collect();
        if healthy.is_empty() {
            if self.jobs.contains_key(id) {
                self.ask_at(now + TimeSpan::millis(1000), id, what);
            }
            return;
        }
        let node = healthy[rng.random_range(0..healthy.len())];
        self.ask_node(now, id, what, tries, node, false, &mut ticket);
    }

    #[expect(clippy::too_many_arguments, reason = "a question, item by item")]
    fn ask_node(
        &mut self,
        now: Time,
        id: &str,
        what: RequestKind,
        tries: u32,
        node: usize,
        look: bool,
        ticket: &mut impl FnMut() -> u64,
    ) {
        let (method, path, body) = match what {
            RequestKind::Submit => (
                "POST",
                "/submissions".into(),
                self.jobs
                    .get(id)
                    .map(|j| j.body.clone())
                    .unwrap_or_default(),
            ),
            RequestKind::Poll => ("GET", format!("/submissions/{id}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/submissions/{id}/cancel"), Vec::new()),
        };
        let patience = if what == RequestKind::Poll {
            POLL_PATIENCE
        } else {
            PATIENCE
        };
        self.seen.push(HistoryEvent::RequestSent {
            job: id.into(),
            what,
        });
        // A look comes after what was told this very moment.
        let asked = if look { now + TimeSpan(1) } else { now };
        let t = ticket();
        let waiting = Waiting::Job {
            job: id.into(),
            what,
            asked,
            tries,
            node,
            look,
        };
        self.waiting.insert(t, (now + patience, waiting));
        self.out.push(UserRequest {
            ticket: t,
            node,
            method,
            path,
            body,
            patience,
        });
    }

    /// A connection was refused: the load balancer goes on to another node.
    pub fn refused(&mut self, now: Time, ticket: u64, rng: &mut StdRng) {
        let Some((_, waiting)) = self.waiting.get(&ticket) else {
            return;
        };
        match waiting {
            Waiting::Job {
                job,
                what,
                tries,
                node,
                ..
            } if *tries + 1 < TRIES => {
                let (job, what) = (job.clone(), *what);
                self.health[*node].good = 0;
                self.waiting.remove(&ticket);
                self.ask_at(now, &job, what);
            }
            _ => self.answered(now, ticket, None, rng),
        }
    }

    /// An answer, or none in time.
    pub fn answered(
        &mut self,
        now: Time,
        ticket: u64,
        answer: Option<(u16, Option<u32>, &[u8])>,
        rng: &mut StdRng,
    ) {
        let Some((_, waiting)) = self.waiting.remove(&ticket) else {
            return;
        };
        let status = answer.map(|(s, _, _)| s);
        match waiting {
            Waiting::Probe { node } => self.probed(now, node, status == Some(200)),
            Waiting::Odd { job, wanted } => self.seen.push(HistoryEvent::InvalidRequestOutcome {
                job,
                wanted,
                status,
            }),
            Waiting::Job {
                job,
                what,
                asked,
                look,
                ..
            } => {
                let body = answer.map(|(_, _, b)| b).unwrap_or_default();
                let stage = matches!(status, Some(200 | 201))
                    .then(|| decode::<JobStatus>(body))
                    .flatten()
                    .map(|a| a.stage);
                let after = answer.and_then(|(_, after, _)| after);
                self.seen.push(HistoryEvent::RequestOutcome {
                    job: job.clone(),
                    what,
                    asked,
                    status,
                    stage,
                });
                if !look {
                    let news = self.jobs.get(&job).is_some_and(|j| match stage {
                        Some(JobStage::Done | JobStage::Cancelled) => {
                            !j.over || what == RequestKind::Cancel
                        }
                        Some(_) => !j.accepted,
                        None => false,
                    });
                    if news && now < self.looks_until {
                        self.looks.push(job.clone());
                    }
                    self.go_on(now, &job, what, stage, status, after, rng);
                }
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "what an answer says, item by item"
    )]
    fn go_on(
        &mut self,
        now: Time,
        id: &str,
        what: RequestKind,
        stage: Option<JobStage>,
        status: Option<u16>,
        after: Option<u32>,
        rng: &mut StdRng,
    ) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let pause = TimeSpan::secs(
            f64::from(after.unwrap_or(1).clamp(1, MOST_RETRY_AFTER)) + rng.random_range(0.0..0.3),
        );
        match (what, stage) {
            (RequestKind::Submit, Some(_)) => {
                if !j.accepted
                    && let Some(first) = j.first
                {
                    self.accept_ms.push(now.since(first).as_millis());
                }
                j.accepted = true;
                if !std::mem::replace(&mut j.polling, true) {
                    self.ask_at(now + POLL_EVERY, id, RequestKind::Poll);
                }
                // Some users submit again, long after.
                if rng.random_bool(0.1) {
                    self.ask_at(
                        now + TimeSpan::secs(rng.random_range(20.0..120.0)),
                        id,
                        RequestKind::Submit,
                    );
                }
            }
            (RequestKind::Submit, None) if matches!(status, Some(400 | 422)) => j.over = true,
            (RequestKind::Submit, None) if j.accepted => {}
            (RequestKind::Submit | RequestKind::Cancel, None) => self.ask_at(now + pause, id, what),
            (RequestKind::Cancel, Some(_)) => {}
            (RequestKind::Poll, _) => {
                j.over |= matches!(stage, Some(JobStage::Done | JobStage::Cancelled));
                let every = if stage.is_some() && j.over {
                    POLL_OVER
                } else {
                    POLL_EVERY
                };
                self.ask_at(
                    now + every.scaled(rng.random_range(0.9..1.1)),
                    id,
                    RequestKind::Poll,
                );
            }
        }
    }

    fn probed(&mut self, now: Time, node: usize, good: bool) {
        let h = &mut self.health[node];
        if good {
            (h.good, h.bad) = (h.good + 1, 0);
            if !h.healthy && (!h.ever || (h.good >= 2 && now >= h.not_before)) {
                (h.healthy, h.ever) = (true, true);
            }
        } else {
            (h.good, h.bad) = (0, h.bad + 1);
            if h.healthy && h.bad >= 2 {
                h.healthy = false;
                h.not_before = now + TimeSpan::millis(3000);
            }
        }
    }
}
