//! Commands that machines carry out late, or a second time. A start that was carried out and
//! answered before must not begin a task again: not after the task ended, moved or was
//! cancelled, whether the leader is the same or another. Days in simulated time, and every
//! order of the steps around one attempt, by the real core's decisions.

mod common;
use common::*;
use pebblefold_controller::core::assignment::{Assignment, PresenceProof};
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::core::sent_starts::SentStarts;
use pebblefold_controller::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, TaskId, Time, TimeSpan,
};
use pebblefold_controller::wire::workers::{ReportedTask, StopReason, TaskState};
use pebblefold_simulator::script::{JobPriority, JobShape, Nodes, Script, Spread, What};
use pebblefold_simulator::simulated::Simulated;
use std::collections::HashSet;

/// The rules that a day broke, and how many copies were carried out.
fn play(script: Script, seed: u64) -> (Vec<String>, u64) {
    let until = Time(0) + TimeSpan::secs(script.length_s);
    let mut world = Simulated::new(script, seed).unwrap();
    world.play(until, false);
    let stand = world.stand();
    let breaches = stand.checker().breaches().iter();
    let broken = breaches.map(|b| b.rule.to_string()).collect();
    (broken, stand.commands_repeated())
}

/// Copies of all commands arrive, at any moment until the latest that agents of the protocol
/// can be expected to take one.
fn copies(for_s: f64) -> What {
    What::LateCommands {
        share: 1.0,
        again: true,
        most_s: 16.0,
        for_s,
    }
}

/// Nothing breaks on any of these seeds; if agents may forget attempts at once, this rule
/// breaks on one of them.
fn guarded(rule: &str, day: impl Fn() -> Script) {
    for seed in 1..5 {
        let (broken, repeated) = play(day(), seed);
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        assert!(repeated > 50, "seed {seed}: {repeated} copies");
    }
    disable_check(&[SafetyCheck::ForgetOnlyUnrepeatableStarts]);
    let caught: Vec<String> = (1..5).flat_map(|seed| play(day(), seed).0).collect();
    disable_check(&[]);
    assert!(caught.iter().any(|b| b == rule), "{rule}: {caught:?}");
}

// Tasks fail on some machines and run on others, while copies of their starts arrive there.
#[test]
fn copy_of_a_start_does_not_run_a_task_that_has_moved() {
    guarded("ran_twice", || {
        let mut day = cluster(3, 3, 9, 9, 200.0);
        let mut work = jobs(JobShape::Array, 60, 2.0);
        (work.over_s, work.run_s) = (120.0, Spread::Fixed(40.0));
        work.image_gb = 0.5;
        day.jobs.push(work);
        day.faults.push(at(0.5, copies(200.0)));
        for t in [1.0, 50.0, 100.0] {
            let (count, zone, for_s) = (3, None, 40.0);
            day.faults.push(at(t, What::Faulty { count, zone, for_s }));
        }
        day
    });
}

// Jobs are cancelled soon after they began; a copy arrives when all their tasks have to be gone.
#[test]
fn copy_of_a_start_does_not_run_a_cancelled_task() {
    guarded("ran_cancelled", || {
        let mut day = cluster(3, 3, 9, 9, 160.0);
        (day.cluster.workers.lease_s, day.cluster.workers.cancel_s) = (3.0, 7.0);
        let mut work = jobs(JobShape::Array, 40, 2.0);
        (work.over_s, work.run_s, work.image_gb) = (100.0, Spread::Fixed(30.0), 0.5);
        (work.cancelled, work.cancel_after_s) = (1.0, Some(4.0));
        day.jobs.push(work);
        day.faults.push(at(0.5, copies(160.0)));
        day
    });
}

// Machines and controllers are back within a second, leaders change, and direct commands are
// held up besides.
#[test]
fn copies_break_nothing_while_leaders_and_machines_come_back() {
    for seed in 1..9 {
        let mut day = cluster(3, 3, 9, 12, 240.0);
        (day.cluster.workers.lease_s, day.cluster.workers.cancel_s) = (4.0, 12.0);
        let mut work = jobs(JobShape::Array, 60, 2.0);
        (work.over_s, work.run_s, work.image_gb) = (150.0, Spread::Between(1.0, 20.0), 0.5);
        (work.cancelled, work.cancel_after_s) = (0.4, Some(6.0));
        day.jobs.push(work.clone());
        let mut gangs = jobs(JobShape::Gang, 10, 2.0);
        (gangs.over_s, gangs.gpus, gangs.priority) = (120.0, 4.0, JobPriority::High);
        day.jobs.push(gangs);
        day.faults.push(at(0.5, copies(240.0)));
        let held_up = What::LateCommands {
            share: 0.3,
            again: false,
            most_s: 16.0,
            for_s: 100.0,
        };
        day.faults.push(at(20.0, held_up));
        for (i, t) in [15.0, 30.0, 45.0, 60.0, 75.0, 90.0].into_iter().enumerate() {
            let nodes = if i % 2 == 0 {
                Nodes::Leader
            } else {
                Nodes::All
            };
            day.faults.push(at(t, What::Kill { nodes, for_s: 0.4 }));
            let (count, that, for_s) = (4, false, 0.8);
            day.faults
                .push(at(t + 5.0, What::Hang { count, that, for_s }));
            let (count, zone, for_s) = (2, None, 10.0);
            day.faults
                .push(at(t + 2.0, What::Faulty { count, zone, for_s }));
        }
        let (broken, repeated) = play(day, seed);
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
        assert!(repeated > 50, "seed {seed}: {repeated} copies");
    }
}

/// Ages from this on are all alike, in seconds.
const OLD: u8 = 40;
/// How long an agent takes an answer after it sent the report.
const ANSWER_LIFETIME: u8 = 4;
/// More worlds than this are a fault of the search.
const MOST: usize = 2_000_000;

/// Wrong versions of when an attempt is forgotten, or of how a start is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    Nothing,
    /// As soon as it has ended.
    ForgottenAtOnce,
    /// Whatever token the machine carries.
    AnyToken,
    /// A start is sent directly: token and session alone decide whether a copy counts.
    DirectStart,
}

/// The attempt on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum OnMachine {
    Unknown,
    Running,
    Ended,
    Forgotten,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    machine: OnMachine,
    /// The machine's highest token and its session.
    token: u8,
    epoch: u8,
    /// Since when the answer with the start may arrive; it may do so again and again.
    start_age: u8,
    /// The leader's token: the second leader knows the start from the records alone.
    leader: u8,
    /// Whether the task may be on the machine, as the leader knows.
    placed: bool,
    /// The attempt began once more after it had ended.
    began_again: bool,
}

fn task() -> TaskId {
    TaskId {
        job: "wk-1".into(),
        index: 0,
    }
}

fn secs(age: u8) -> Time {
    Time(0) + TimeSpan::secs(f64::from(age))
}

/// Whether the leader lets the agent forget the attempt, by the real core.
fn may_forget(world: &World, reported: usize) -> bool {
    let mut starts = SentStarts::default();
    if world.leader == 0 && world.epoch == 0 {
        starts.record(secs(0), &task(), Attempt(1));
    }
    starts.may_forget(secs(world.start_age), &task(), Attempt(1), reported)
}

/// Whether a report proves to the leader that the task is not on the machine, by the real core.
fn proves_absence(world: &World) -> bool {
    let assignment = Assignment::inherited("host-1".into(), AgentEpoch(1), Attempt(1));
    let state = match world.machine {
        OnMachine::Unknown | OnMachine::Forgotten => None,
        OnMachine::Running => Some((TaskState::Running, None)),
        OnMachine::Ended => Some((TaskState::Exited, Some(StopReason::Error))),
    };
    let listed = state.map(|(state, why)| ReportedTask {
        task: task().to_string(),
        attempt: Attempt(1),
        state,
        why,
        saved: None,
    });
    let presence = assignment.check_presence(
        AgentEpoch(u64::from(world.epoch) + 1),
        HeartbeatSequence(9),
        FencingToken(u64::from(world.token)),
        FencingToken(u64::from(world.leader)),
        listed.as_ref(),
    );
    presence == PresenceProof::Absent || world.machine == OnMachine::Ended
}

impl World {
    /// The answer with the start, or a copy of it, reaches the machine.
    fn start_arrives(&mut self, wrong: Wrong) {
        let in_time = wrong == Wrong::DirectStart || self.start_age <= ANSWER_LIFETIME;
        if !in_time || self.token > 0 || self.epoch > 0 {
            return;
        }
        self.began_again |= self.machine == OnMachine::Forgotten;
        if self.machine == OnMachine::Unknown {
            self.machine = OnMachine::Running;
        }
    }

    /// The machine reports to the leader, and its answer arrives, or is lost.
    fn report(&mut self, wrong: Wrong, reported: usize, answer_arrives: bool) {
        self.placed &= !proves_absence(self);
        let has_token = self.token == self.leader || wrong == Wrong::AnyToken;
        let may_forget = wrong == Wrong::ForgottenAtOnce || may_forget(self, reported);
        let forgets = has_token && !self.placed && may_forget;
        if !answer_arrives || self.token > self.leader {
            return;
        }
        // The wrong version sends the command to a machine with an older token, directly.
        if wrong != Wrong::AnyToken {
            self.token = self.leader;
        }
        if forgets && self.machine == OnMachine::Ended {
            self.machine = OnMachine::Forgotten;
        }
    }

    fn next(&self, wrong: Wrong, reported: usize) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut world = *self;
            change(&mut world);
            if world != *self {
                out.push(world);
            }
        };
        step(&|w| w.start_age = (w.start_age + 1).min(OLD));
        step(&|w| w.start_arrives(wrong));
        // It ends by itself, or since it was moved or cancelled.
        step(&|w| {
            if w.machine == OnMachine::Running {
                w.machine = OnMachine::Ended;
            }
        });
        step(&|w| w.report(wrong, reported, true));
        step(&|w| w.report(wrong, reported, false));
        // The leader, or its process that is back, takes office under a new token.
        step(&|w| (w.leader, w.placed) = (1, true));
        // Its lease ends: it forgets everything.
        step(&|w| (w.epoch, w.machine) = (1, OnMachine::Forgotten));
        out
    }
}

/// Looks through every order; how many worlds there were, whether an attempt was forgotten
/// under the first leader, and whether one began again.
fn explore(wrong: Wrong, reported: usize) -> (usize, bool, bool) {
    let first = World {
        machine: OnMachine::Unknown,
        token: 0,
        epoch: 0,
        start_age: 0,
        leader: 0,
        placed: true,
        began_again: false,
    };
    let mut seen = HashSet::from([first]);
    let mut queue = vec![first];
    let (mut forgotten, mut broken) = (false, false);
    while let Some(world) = queue.pop() {
        forgotten |= world.machine == OnMachine::Forgotten && world.token == 0 && world.epoch == 0;
        broken |= world.began_again;
        assert!(seen.len() < MOST, "{wrong:?}: more worlds than meant");
        for next in world.next(wrong, reported) {
            if seen.insert(next) {
                queue.push(next);
            }
        }
    }
    (seen.len(), forgotten, broken)
}

#[test]
fn no_order_begins_an_ended_attempt_again() {
    for reported in [1, 10_000] {
        let (worlds, forgotten, broken) = explore(Wrong::Nothing, reported);
        println!("{worlds} worlds: one attempt, two leaders, two sessions, {reported} reported");
        assert!(forgotten && worlds > 500, "{worlds}");
        assert!(!broken, "{reported} reported");
    }
}

#[test]
fn nothing_else_keeps_an_ended_attempt_from_beginning_again() {
    for wrong in [Wrong::ForgottenAtOnce, Wrong::AnyToken, Wrong::DirectStart] {
        let (worlds, _, broken) = explore(wrong, 1);
        println!("{wrong:?}: {broken} among {worlds} worlds");
        assert!(broken, "{wrong:?} was not missed");
    }
}
