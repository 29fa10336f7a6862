//! All stand-ins as one state machine: state service, cloud, machines and
//! users, with the faults of a script and the checker that listens.

mod faults;
mod late_commands;
mod state_calls;

use crate::checker::{Checker, HistoryEvent};
use crate::cloud::{Addresses, Cloud, Happened};
use crate::director::FaultSchedule;
use crate::fleet::Fleet;
use crate::layout::label;
use crate::links::{Host, Links};
use crate::script::{Moment, Script};
use crate::tally::ProvisioningStats;
use crate::users::{Planned, UserRequest, Users, plan};
use crate::waiting::{PendingJob, could_start};
use crate::worker::{HEARTBEAT_TIMEOUT, Times, job_of};
use late_commands::LateCommands;
use pebblefold_controller::types::{MachineId, NodeId, Resources, Time, TimeSpan};
use pebblefold_controller::wire::cloud::MachineNames;
use pebblefold_controller::wire::decode;
use pebblefold_controller::wire::users::Submission;
use pebblefold_kvstore::{Disk, Limits, Service, StorageError};
use pebblefold_wire::http::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use state_calls::StateCall;
pub use state_calls::{AskedState, Store};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes in one transaction.
pub(crate) const TXN_OPS: usize = 48;
/// How long a request is remembered that nobody answers.
const SENT_KEPT: TimeSpan = TimeSpan::millis(30_000);
/// Copies of reports kept for the next leader.
const MOST_KEPT: usize = 400;
/// How long nobody may wait beside room that fits, once all troubles are over.
const LEFT_WAITING: TimeSpan = TimeSpan::millis(90_000);
/// Time between samples for the report.
const SAMPLE_EVERY: TimeSpan = TimeSpan::millis(1000);

/// What becomes of a call that a controller made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Returned {
    /// It is answered.
    Answer(u16, Vec<u8>),
    /// The connection ends without an answer.
    Silence,
    /// Nobody listens.
    Refused,
}

/// What is to be done with a controller's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeAction {
    /// Kill it.
    Kill(usize),
    /// Start it.
    Start(usize),
    /// Stop it where it is.
    Pause(usize),
    /// Let it go on.
    Continue(usize),
    /// Ask it to end.
    End(usize),
    /// The build that it is started from next; none: this one.
    Install(usize, Option<usize>),
    /// Have it take so long over each input; zero: no time at all.
    Busy(usize, TimeSpan),
}

/// What the stand-ins want done.
#[derive(Debug)]
pub enum Out {
    /// Send a request to a controller's users' interface.
    Send {
        /// Its ticket.
        ticket: u64,
        /// Who sends it.
        from: Host,
        /// The controller.
        node: usize,
        /// The method.
        method: &'static str,
        /// The path.
        path: String,
        /// The body.
        body: Vec<u8>,
        /// When to give it up.
        patience: TimeSpan,
    },
    /// Answer a controller's call.
    Return {
        /// Its number.
        call: u64,
        /// Who answers.
        from: Host,
        /// The controller.
        node: usize,
        /// What.
        returned: Returned,
    },
    /// Act on a controller.
    Node(NodeAction),
}

#[derive(Debug)]
enum Heal {
    Node(NodeAction),
    Power(String),
    StateOut,
    StateBack,
    StateFull,
    StateLimits,
    StateRefuses(Vec<usize>),
    CloudOut,
    CloudShort,
    Fast(Vec<(String, f64)>),
    /// A controller's transaction is carried out at last.
    Write(usize, Request),
    /// A call that was carried out ends without an answer.
    Silence(u64, usize),
    /// A copy of a machine's report to a controller arrives.
    Heartbeat(String, usize, Vec<u8>),
    /// Direct commands to a machine, or a copy of commands, arrive.
    Commands(String, Vec<u8>),
}

/// What a moment is about.
#[derive(Clone, Debug, Default)]
struct About {
    node: Option<usize>,
    machine: Option<String>,
    call: Option<u64>,
}

/// How things stood at one second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sample {
    /// The second.
    pub at_s: f64,
    /// Jobs waiting and running, by class.
    pub classes: BTreeMap<String, (u32, u32)>,
    /// Machines up, by zone.
    pub zones: BTreeMap<String, u32>,
}

/// All stand-ins.
pub struct Stand {
    script: Script,
    labels: Vec<NodeId>,
    store: Store,
    state: Option<Service<Disk>>,
    /// The state service's limits now.
    state_limits: Limits,
    /// The state service was told to end with its next write.
    dying: Option<TimeSpan>,
    state_calls: BTreeMap<u64, StateCall>,
    cloud: Cloud,
    fleet: Fleet,
    users: Users,
    checker: Checker,
    director: FaultSchedule,
    links: Links,
    /// Which share of transactions, and of reports' copies, comes late, and until when.
    late_writes: (f64, Time),
    late_reports: (f64, Time),
    /// Commands that are carried out late.
    late_commands: LateCommands,
    /// Of which share of transactions only the answer is lost, and until when.
    lost_answers: (f64, Time),
    /// Of which share of reports a copy is kept for the next leader, until when, and those.
    kept_reports: (f64, Time),
    kept: VecDeque<(String, Vec<u8>)>,
    answers_lost: u64,
    brought: u64,
    /// When the last trouble that has struck is over.
    quiet: Time,
    /// Since when jobs that wait could start, with how many of their tasks wait.
    startable: BTreeMap<String, (Time, u32)>,
    /// When a task of each job last began on a machine.
    last_starts: BTreeMap<String, Time>,
    /// The longest such wait of each class.
    waited: BTreeMap<String, TimeSpan>,
    /// Which share of the jobs that end is called off then, and until when.
    cancel_at_end: (f64, Time),
    rng: StdRng,
    /// Who sent which ticket.
    sent: BTreeMap<u64, (Host, Time)>,
    next_ticket: u64,
    /// Calls to machines that stand still: executed when they go on.
    stalled: Vec<(u64, usize, String, Request)>,
    heals: BTreeMap<(Time, u64), Heal>,
    numbers: u64,
    known_starts: BTreeSet<String>,
    asked: AskedState,
    leader: Option<usize>,
    lost_calls: BTreeSet<u64>,
    out: Vec<Out>,
    samples: Vec<Sample>,
    tally: ProvisioningStats,
    marks: Vec<(f64, String)>,
}

impl Stand {
    /// The stand-ins of a script. `seed` decides what is left to chance.
    ///
    /// # Errors
    /// The state service's store cannot be opened.
    pub fn new(
        script: Script,
        seed: u64,
        store: Store,
        addresses: Addresses,
        delays: bool,
    ) -> Result<Stand, StorageError> {
        let mut rng = StdRng::seed_from_u64(seed);
        let c = &script.cluster;
        let times = Times {
            report: TimeSpan::secs(c.workers.report_s),
            lease: TimeSpan::secs(c.workers.lease_s),
            gang_wait: TimeSpan::secs(c.workers.gang_wait_s),
            gang_peer: TimeSpan::secs(c.workers.gang_peer_s),
        };
        let nodes = c.controllers.len();
        let cloud = Cloud::new(c, addresses);
        let mut fleet = Fleet::new(times, nodes, cloud.types(Time(0)));
        let mut checker = Checker::new(c);
        let planned = plan(&script, &mut rng);
        for p in &planned {
            checker.add_job(p.spec.clone());
            fleet.describe(p.spec.clone(), p.run_s);
            if p.mistaken {
                fleet.set_mistaken(&p.spec.id);
            }
        }
        let mut stand = Stand {
            labels: (0..nodes).map(label).collect(),
            state: None,
            state_limits: Stand::usual_state_limits(&script),
            dying: None,
            state_calls: BTreeMap::new(),
            cloud,
            fleet,
            users: Users::new(planned, nodes),
            checker,
            director: FaultSchedule::new(&script.faults),
            links: Links::new(delays),
            late_writes: (0.0, Time(0)),
            late_reports: (0.0, Time(0)),
            late_commands: LateCommands::default(),
            lost_answers: (0.0, Time(0)),
            kept_reports: (0.0, Time(0)),
            kept: VecDeque::new(),
            answers_lost: 0,
            brought: 0,
            quiet: Time(0),
            startable: BTreeMap::new(),
            last_starts: BTreeMap::new(),
            waited: BTreeMap::new(),
            cancel_at_end: (0.0, Time(0)),
            rng,
            sent: BTreeMap::new(),
            next_ticket: 1,
            stalled: Vec::new(),
            heals: BTreeMap::new(),
            numbers: 0,
            known_starts: BTreeSet::new(),
            asked: AskedState::default(),
            leader: None,
            lost_calls: BTreeSet::new(),
            out: Vec::new(),
            samples: Vec::new(),
            tally: ProvisioningStats::default(),
            marks: Vec::new(),
            store,
            script,
        };
        stand.state = Some(stand.open_state(Time(0))?);
        Ok(stand)
    }

    /// A controller's name.
    pub fn label(&self, n: usize) -> NodeId {
        self.labels[n].clone()
    }

    /// The script.
    pub fn script(&self) -> &Script {
        &self.script
    }

    /// What the controllers asked the state service to change so far.
    pub fn asked_state(&self) -> AskedState {
        self.asked
    }

    /// The checker.
    pub fn checker(&self) -> &Checker {
        &self.checker
    }

    /// The machines.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The state service, if it runs.
    pub fn state(&self) -> Option<&Service<Disk>> {
        self.state.as_ref()
    }

    /// Samples for the report.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Faults that struck: when, and what.
    pub fn marks(&self) -> &[(f64, String)] {
        &self.marks
    }

    /// Faults that did not strike.
    pub fn left(&self) -> Vec<String> {
        self.director.pending()
    }

    /// Transactions of which only the answer was lost, and copies of reports that reached
    /// controllers as a leader began.
    pub fn answers_lost(&self) -> u64 {
        self.answers_lost
    }

    /// Copies of commands that a machine has carried out once more.
    pub fn commands_repeated(&self) -> u64 {
        self.late_commands.repeated
    }

    /// See [`Stand::answers_lost`].
    pub fn brought(&self) -> u64 {
        self.brought
    }

    /// Milliseconds that accepted submissions took.
    pub fn accept_ms(&self) -> &[u64] {
        &self.users.accept_ms
    }

    /// What renting came to.
    pub fn tally(&self) -> &ProvisioningStats {
        &self.tally
    }

    /// Compares the machines that are paid with those that the leader knows,
    /// if it is time to; `knows` is `None` where nobody leads.
    pub fn look_for_unknown(&mut self, now: Time, knows: Option<impl Fn(&MachineId) -> bool>) {
        let unknown = knows.map(|knows| {
            let paid = self.cloud.machines().filter(|m| !knows(&m.id));
            paid.map(|m| m.id.to_string()).collect()
        });
        self.tally.record_unknown(now, unknown);
    }

    /// Counts the tasks that a release takes with it.
    fn count_released(&mut self, node: usize, r: &Request) {
        let names = decode::<MachineNames>(&r.body).unwrap_or_default();
        if self.leader != Some(node) {
            let workers = self.fleet.workers();
            let there = names
                .machines
                .iter()
                .filter_map(|m| workers.get(m.as_str()));
            let tasks = there.map(|w| w.tasks.values().filter(|t| t.on_machine()).count());
            let tasks = tasks.sum();
            self.tally.record_terminated_by_replaced(tasks);
        }
    }

    /// Money spent on machines so far.
    pub fn cost(&self) -> f64 {
        self.cloud.cost()
    }

    /// A job by hand: its description is uploaded, its user submits it now.
    pub fn add_job(&mut self, p: Planned) {
        self.checker.add_job(p.spec.clone());
        self.fleet.describe(p.spec.clone(), p.run_s);
        self.users.add(p);
    }

    /// Uploads the description of a job whose user is outside the stand-ins. Its
    /// tasks run as long as their owner guesses.
    /// `again`: it was uploaded in an earlier life.
    pub fn upload(&mut self, spec: Submission, again: bool) {
        if again {
            self.checker.add_preexisting_job(spec.clone());
        } else {
            self.checker.add_job(spec.clone());
        }
        let run_s = spec.estimate_s;
        self.fleet.describe(spec, run_s);
    }

    /// As [`Stand::upload`], of a job whose work is done outside: its tasks run
    /// until [`Stand::complete`].
    pub fn upload_command(&mut self, spec: Submission, again: bool) {
        self.upload(spec.clone(), again);
        self.fleet.describe(spec, f64::INFINITY);
    }

    /// A job's work is done.
    pub fn complete(&mut self, job: &str) {
        self.fleet.complete(job);
    }

    /// A controller ended by itself, which none may.
    pub fn ended(&mut self, now: Time, what: String) {
        self.checker.report_protocol_breach(now, what);
    }

    /// Lets the checker hear what a user outside the stand-ins was told.
    pub fn overheard(&mut self, now: Time, seen: HistoryEvent) {
        self.checker.record(now, seen);
    }

    /// The number of the cloud's next machine.
    pub fn next_machine(&self) -> u32 {
        self.cloud.next()
    }

    /// The controller whose commits the state service last took as leader's.
    pub fn leader(&self) -> Option<usize> {
        self.leader
    }

    /// Whether every job has been submitted and has its final answer.
    pub fn all_over(&self) -> bool {
        self.users.to_come() == 0 && self.checker.all_jobs_final()
    }

    /// Ends the rehearsal: what is open counts.
    pub fn finish(&mut self, now: Time) {
        self.collect(now);
        self.checker.finish(now);
    }

    fn zone_of(&self, h: &Host) -> Option<String> {
        match h {
            Host::Node(n) => self.script.cluster.controllers.get(*n).cloned(),
            Host::Machine(m) => self
                .fleet
                .workers()
                .get(m)
                .map(|w| w.machine.zone.to_string()),
            _ => None,
        }
    }

    /// What becomes of a message that is sent now.
    pub fn fate(&mut self, now: Time, from: &Host, to: &Host) -> crate::links::Fate {
        let (zf, zt) = (self.zone_of(from), self.zone_of(to));
        let zone = |h: &Host| if h == from { zf.clone() } else { zt.clone() };
        self.links.fate(now, from, to, zone, &mut self.rng)
    }

    // ---- what controllers ask ----

    /// A controller's call has reached its target.
    pub fn call(&mut self, now: Time, node: usize, target: &Host, call: u64, r: Request) {
        match target {
            Host::State => self.call_state(now, node, call, &r),
            Host::Cloud => {
                if r.path == "/machines/release" {
                    self.count_released(node, &r);
                }
                let (status, body) = self.cloud.handle(now, &mut self.rng, &r);
                for what in std::mem::take(&mut self.cloud.misused) {
                    self.checker.report_protocol_breach(now, what);
                }
                let hired = status == 200 && r.method == "POST" && r.path == "/machines";
                self.happen(now);
                if hired {
                    let names = decode::<MachineNames>(&body).unwrap_or_default();
                    self.tally
                        .record_provisioned(names.machines.iter().map(MachineId::as_str));
                    let about = About {
                        node: Some(node),
                        call: Some(call),
                        ..About::default()
                    };
                    self.moment(now, Moment::Hired, None, &about);
                }
                self.give(call, Host::Cloud, node, Returned::Answer(status, body));
            }
            Host::Machine(m) => self.call_machine(now, node, m, call, r),
            Host::Node(_) | Host::Users => self.give(call, target.clone(), node, Returned::Refused),
        }
    }

    fn give(&mut self, call: u64, from: Host, node: usize, returned: Returned) {
        let returned = if self.lost_calls.remove(&call) {
            Returned::Silence
        } else {
            returned
        };
        self.out.push(Out::Return {
            call,
            from,
            node,
            returned,
        });
    }

    fn call_machine(&mut self, now: Time, node: usize, machine: &str, call: u64, r: Request) {
        if !self.fleet.workers().contains_key(machine) {
            // A machine that is gone is silent.
            return self.give(call, Host::Machine(machine.into()), node, Returned::Silence);
        }
        let deaf = |w: &crate::worker::Worker| w.is_deaf(now);
        if self.fleet.workers().get(machine).is_some_and(deaf) {
            return self.give(call, Host::Machine(machine.into()), node, Returned::Silence);
        }
        if !self.fleet.acts(now, machine) {
            self.stalled.push((call, node, machine.into(), r));
            return;
        }
        if r.path == "/commands" && self.holds_up_commands(now, machine, &r.body) {
            return self.give(call, Host::Machine(machine.into()), node, Returned::Silence);
        }
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("POST", "/commands") => self.commanded(now, machine, &r.body),
            ("GET", "/inspect") => self.fleet.inspected(now, machine),
            (method, path) => {
                self.checker
                    .report_protocol_breach(now, format!("worker: {method} {path}"));
                Some((400, Vec::new()))
            }
        };
        let returned = answer.map_or(Returned::Silence, |(s, b)| Returned::Answer(s, b));
        self.give(call, Host::Machine(machine.into()), node, returned);
        self.collect(now);
    }

    // ---- what controllers answer ----

    /// Who sent a request that is not answered yet.
    pub fn sender(&self, ticket: u64) -> Option<Host> {
        self.sent.get(&ticket).map(|(from, _)| from.clone())
    }

    /// A controller's answer to a request of the stand-ins has arrived.
    pub fn answered(
        &mut self,
        now: Time,
        ticket: u64,
        status: u16,
        after: Option<u32>,
        body: &[u8],
    ) {
        match self.sent.remove(&ticket).map(|(from, _)| from) {
            Some(Host::Machine(m)) => {
                if !self.fleet.awaits(now, &m, ticket) {
                    return;
                }
                let starts = if status == 200 {
                    Fleet::starts_in(body)
                } else {
                    Vec::new()
                };
                let about = About {
                    machine: Some(m.clone()),
                    node: self.leader,
                    call: None,
                };
                self.starts_at(now, Moment::StartArrived, &starts, &about);
                self.fleet
                    .answered(now, &m, Some((status, body)), &self.labels, &mut self.rng);
                self.starts_at(now, Moment::StartDone, &starts, &about);
                if status == 200 {
                    self.copy_answer(now, &m, body);
                }
            }
            Some(_) => {
                self.users
                    .answered(now, ticket, Some((status, after, body)), &mut self.rng);
                self.send_looks(now);
            }
            None => {}
        }
        self.collect(now);
    }

    fn starts_at(&mut self, now: Time, moment: Moment, starts: &[String], about: &About) {
        for task in starts {
            let class = self.fleet.class_of(task).map(String::from);
            self.moment(now, moment, class.as_deref(), about);
        }
    }

    /// A request of the stand-ins found nobody listening, or its connection
    /// was reset.
    pub fn refused(&mut self, now: Time, ticket: u64) {
        match self.sent.remove(&ticket).map(|(from, _)| from) {
            Some(Host::Machine(m)) if self.fleet.awaits(now, &m, ticket) => {
                self.fleet
                    .answered(now, &m, None, &self.labels, &mut self.rng);
            }
            Some(_) => self.users.refused(now, ticket, &mut self.rng),
            None => {}
        }
    }

    // ---- time ----

    /// Lets time pass; to be called every 20 to 100 ms.
    pub fn advance(&mut self, now: Time) {
        while let Some((&(at, n), _)) = self.heals.first_key_value()
            && at <= now
            && let Some(heal) = self.heals.remove(&(at, n))
        {
            self.heal(now, heal);
        }
        for what in self.director.take_due(now) {
            self.strike(now, &what, &About::default());
        }
        if let Some(state) = &mut self.state {
            state.tick(now);
            self.flush(now);
        }
        self.happen(now);
        let taken: Vec<String> = self
            .fleet
            .workers()
            .iter()
            .filter(|(_, w)| w.taken.is_some_and(|t| now >= t))
            .map(|(m, _)| m.clone())
            .collect();
        for m in taken {
            self.cloud.take(now, &m);
        }
        self.happen(now);
        self.fleet.advance(now, &mut self.rng);
        for (call, node, machine, r) in std::mem::take(&mut self.stalled) {
            self.call_machine(now, node, &machine, call, r);
        }
        self.send_reports(now);
        self.send_users(now);
        self.collect(now);
        self.checker.check_elapsed(now);
        self.sample(now);
    }

    fn happen(&mut self, now: Time) {
        for what in self.cloud.advance(now) {
            match what {
                Happened::Up(machine) => self.fleet.up(now, machine, &mut self.rng),
                Happened::Gone(machine) => self.fleet.gone(now, &machine),
            }
        }
    }

    fn send_reports(&mut self, now: Time) {
        let next = &mut self.next_ticket;
        let reports = self.fleet.reports(now, &mut self.rng, || {
            *next += 1;
            *next
        });
        for s in reports {
            let about = About {
                machine: Some(s.machine.clone()),
                node: Some(s.node),
                call: None,
            };
            for class in &s.completes {
                self.moment(now, Moment::DoneReported, Some(class), &about);
            }
            // It may have gone at this very moment.
            let worker = self.fleet.workers().get(&s.machine);
            if worker.is_some_and(|w| w.is_mute(now)) {
                self.fleet
                    .answered(now, &s.machine, None, &self.labels, &mut self.rng);
                continue;
            }
            let (share, until) = self.kept_reports;
            if now < until && self.rng.random_bool(share) {
                if self.kept.len() == MOST_KEPT {
                    self.kept.pop_front();
                }
                self.kept.push_back((s.machine.clone(), s.body.clone()));
            }
            let (share, until) = self.late_reports;
            if now < until && self.rng.random_bool(share) {
                let most = self.script.cluster.workers.lease_s * 2.0;
                let after = TimeSpan::secs(self.rng.random_range(2.0..most.max(3.0)));
                let copy = Heal::Heartbeat(s.machine.clone(), s.node, s.body.clone());
                self.heal_at(now + after, copy);
            }
            let from = Host::Machine(s.machine);
            self.sent.insert(s.ticket, (from.clone(), now));
            self.out.push(Out::Send {
                ticket: s.ticket,
                from,
                node: s.node,
                method: "POST",
                path: "/checkin".into(),
                body: s.body,
                patience: HEARTBEAT_TIMEOUT,
            });
        }
    }

    fn send_users(&mut self, now: Time) {
        let next = &mut self.next_ticket;
        let requests = self.users.advance(now, &mut self.rng, || {
            *next += 1;
            *next
        });
        self.send_requests(now, requests);
    }

    /// What users who look closely ask at once, on what they were just told.
    fn send_looks(&mut self, now: Time) {
        let next = &mut self.next_ticket;
        let requests = self.users.looks(now, &mut self.rng, || {
            *next += 1;
            *next
        });
        self.send_requests(now, requests);
    }

    fn send_requests(&mut self, now: Time, requests: Vec<UserRequest>) {
        for r in requests {
            self.sent.insert(r.ticket, (Host::Users, now));
            self.out.push(Out::Send {
                ticket: r.ticket,
                from: Host::Users,
                node: r.node,
                method: r.method,
                path: r.path,
                body: r.body,
                patience: r.patience,
            });
        }
    }

    /// Lets the checker hear what was seen.
    fn collect(&mut self, now: Time) {
        for seen in self.fleet.take_seen() {
            if let HistoryEvent::TaskPlaced { machine, task, .. } = &seen {
                self.tally.record_task_placed(machine);
                self.last_starts.insert(job_of(task).to_string(), now);
            }
            let ends = match &seen {
                HistoryEvent::TaskCompleted { task } => Some(job_of(task).to_string()),
                _ => None,
            };
            self.checker.record(now, seen);
            let (share, until) = self.cancel_at_end;
            if let Some(job) = ends.filter(|j| now < until && self.checker.is_complete(j))
                && self.rng.random_bool(share)
            {
                self.users.call_off(now, &job);
            }
        }
        for seen in self.users.take_seen() {
            self.checker.record(now, seen);
        }
    }

    /// The longest that a job of each class waited beside room that fits, with its team
    /// under its limit, after the last trouble.
    pub fn waited(&self) -> &BTreeMap<String, TimeSpan> {
        &self.waited
    }

    /// Once all troubles are over: who could start, and since when.
    fn look_for_waiting(&mut self, now: Time) {
        let before = std::mem::take(&mut self.startable);
        if now < self.quiet || !self.director.pending().is_empty() {
            return;
        }
        let (rooms, live) = (self.fleet.rooms(now), self.fleet.live());
        let mut used: BTreeMap<String, Resources> = BTreeMap::new();
        for (job, zones) in &live {
            if let Some(spec) = self.fleet.spec(job) {
                let n = f64::from(zones.values().sum::<u32>());
                *used.entry(spec.team.to_string()).or_default() += spec.needs().times(n);
            }
        }
        let mut found = Vec::new();
        for (spec, done) in self.checker.open_jobs() {
            let id = spec.id.to_string();
            let in_zones = live.get(&id).cloned().unwrap_or_default();
            let placed: u32 = in_zones.values().sum();
            let tasks = spec.tasks.saturating_sub(done + placed);
            let waiting = PendingJob {
                spec,
                tasks,
                in_zones,
            };
            let team = self.checker.teams().iter();
            let team = team.into_iter().find(|t| t.name == spec.team.as_str());
            let used = used.get(spec.team.as_str()).copied().unwrap_or_default();
            if team.is_some_and(|t| could_start(&waiting, &rooms, t, &used)) {
                // A start of any of its tasks begins its wait anew, also one that makes
                // up for a task that was stopped since the last look.
                let since = before.get(&id).filter(|(_, n)| *n <= tasks);
                let since = since.map_or(now, |(t, _)| *t);
                let last_start = self.last_starts.get(&id).copied();
                let since = since.max(last_start.unwrap_or(since));
                found.push((id, spec.class.to_string(), since, tasks));
            }
        }
        for (id, class, since, tasks) in found {
            let waited = now.since(since);
            let longest = self.waited.entry(class).or_default();
            *longest = waited.max(*longest);
            if waited >= LEFT_WAITING {
                self.checker.report_left_waiting(now, &id, waited);
            }
            self.startable.insert(id, (since, tasks));
        }
    }

    fn sample(&mut self, now: Time) {
        let at_s = now.0 as f64 / 1e6;
        let last = self.samples.last().map(|s| s.at_s);
        if last.is_some_and(|l| at_s < l + SAMPLE_EVERY.as_secs()) {
            return;
        }
        // Nobody waits so long for an answer.
        self.sent.retain(|_, (_, t)| now.since(*t) < SENT_KEPT);
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        for z in &self.script.cluster.zones {
            zones.insert(z.clone(), 0);
        }
        for w in self.fleet.workers().values() {
            *zones.entry(w.machine.zone.to_string()).or_default() += 1;
        }
        self.look_for_waiting(now);
        self.samples.push(Sample {
            at_s,
            classes: self.checker.job_counts_by_class(),
            zones,
        });
    }

    /// What is to be done.
    pub fn take_out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }
}
