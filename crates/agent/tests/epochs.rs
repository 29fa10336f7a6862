//! What a killed agent leaves on disk, for each moment of the change from one epoch to the
//! next.

use pebblefold_agent::attempts::{AttemptKey, Effect, Timeouts};
use pebblefold_agent::link::{Link, LinkTimes};
use pebblefold_agent::shim::Exit;
use pebblefold_agent::worker::{Machine, Worker};
use pebblefold_wire::encode;
use pebblefold_wire::types::{AgentEpoch, Attempt, FencingToken, Resources, Time, TimeSpan};
use pebblefold_wire::users::{JobShape, Priority, Submission};
use pebblefold_wire::workers::{Command, DirectCommands};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::rc::Rc;

const LEASE: TimeSpan = TimeSpan::millis(2000);

fn at(seconds: f64) -> Time {
    Time(0) + TimeSpan::secs(seconds)
}

/// What would survive a kill: the journal and the running attempts.
#[derive(Clone, Debug, Default)]
struct Disk {
    epoch: u64,
    attempts: BTreeSet<AttemptKey>,
    running: BTreeSet<AttemptKey>,
}

impl Disk {
    fn apply(&mut self, effect: &Effect) {
        match effect {
            Effect::Record(key, _) => {
                self.attempts.insert(key.clone());
            }
            Effect::DeleteRecord(key) => {
                self.attempts.remove(key);
            }
            Effect::Epoch(epoch) => self.epoch = epoch.0,
            Effect::Spawn(key, _) => {
                self.running.insert(key.clone());
            }
            // The driver performs this effect only with the proof that the processes are
            // gone.
            Effect::Remove(key) => {
                self.running.remove(key);
            }
            Effect::Token(_)
            | Effect::LoadJob(_)
            | Effect::FetchImage(..)
            | Effect::CancelStart(_)
            | Effect::JoinGang(..)
            | Effect::Stop(..) => {}
        }
    }

    /// The states in which a kill may leave the disk: consecutive records are one write.
    fn states_while(&mut self, effects: &[Effect]) -> Vec<Disk> {
        let is_record = |effect: &Effect| {
            matches!(
                effect,
                Effect::Record(..) | Effect::DeleteRecord(_) | Effect::Token(_) | Effect::Epoch(_)
            )
        };
        let mut states = vec![self.clone()];
        for (index, effect) in effects.iter().enumerate() {
            self.apply(effect);
            let next_is_record = effects.get(index + 1).is_some_and(is_record);
            if !(is_record(effect) && next_is_record) {
                states.push(self.clone());
            }
        }
        states
    }
}

fn job() -> Submission {
    Submission {
        id: "wk-1".into(),
        class: "c".into(),
        team: "t".into(),
        shape: JobShape::Array,
        priority: Priority::Normal,
        tasks: 4,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn worker() -> Worker {
    let capacity = Resources {
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 8.0,
    };
    let machine = Machine {
        id: "m".into(),
        addr: String::new(),
        machine_type: "k".into(),
        zone: "z".into(),
        spot: false,
        capacity,
    };
    let link_times = LinkTimes {
        heartbeat_interval: TimeSpan::millis(500),
        lease_duration: LEASE,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let link = Link::new(link_times, 1, at(0.0), &mut rng);
    let gang_wait = TimeSpan::secs(9.0);
    Worker::new(machine, vec!["c0".into()], link, Timeouts { gang_wait })
}

fn start(worker: &mut Worker, now: Time, index: u32) -> u16 {
    let commands = DirectCommands {
        token: FencingToken(1),
        epoch: AgentEpoch(1),
        commands: vec![Command::Start {
            task: format!("wk-1/{index}"),
            attempt: Attempt(1),
        }],
    };
    worker.handle_commands(now, &encode(&commands))
}

fn key(index: u32) -> AttemptKey {
    AttemptKey {
        task: format!("wk-1/{index}"),
        attempt: 1,
    }
}

/// A worker with one attempt that has ended, one that runs and one that fetches its image,
/// and the matching disk.
fn worker_with_attempts() -> (Worker, Disk) {
    let (mut worker, mut disk) = (worker(), Disk::default());
    disk.epoch = 1;
    for index in [0, 1] {
        assert_eq!(start(&mut worker, at(0.1), index), 200);
        worker.attempts.job_loaded("wk-1", Some(Rc::new(job())));
        worker.attempts.image_fetched(at(0.1), &key(index), true);
    }
    let exit = Exit {
        gone: true,
        ..Exit::default()
    };
    worker.attempts.exited(&key(0), &exit);
    assert_eq!(start(&mut worker, at(0.2), 2), 200);
    disk.states_while(&worker.take_effects());
    assert_eq!(disk.attempts.len(), 3);
    assert_eq!(disk.running.len(), 2);
    (worker, disk)
}

// A restarted agent resumes the epoch that it finds in the journal, with all attempts that
// it finds there.
#[test]
fn kill_leaves_no_attempts_of_expired_epoch() {
    let (mut worker, mut disk) = worker_with_attempts();
    worker.advance(at(2.1));
    let states = disk.states_while(&worker.take_effects());
    assert!(states.len() > 3);
    for state in &states {
        let is_clean = state.attempts.is_empty() && state.running.is_empty();
        assert!(state.epoch == 1 || is_clean, "{state:?}");
    }
    assert_eq!(disk.epoch, 2);
    assert!(disk.attempts.is_empty() && disk.running.is_empty());
}

// The commands arrived in the step in which the lease expired, and their effects were not
// performed yet.
#[test]
fn starts_nothing_for_expired_epoch() {
    let (mut worker, mut disk) = worker_with_attempts();
    assert_eq!(start(&mut worker, at(1.9), 3), 200);
    worker.attempts.job_loaded("wk-1", Some(Rc::new(job())));
    worker.attempts.image_fetched(at(1.9), &key(3), true);
    worker.advance(at(2.1));
    let effects = worker.take_effects();
    let starts_work =
        |effect: &Effect| matches!(effect, Effect::Spawn(..) | Effect::FetchImage(..));
    assert!(!effects.iter().any(starts_work), "{effects:?}");
    disk.states_while(&effects);
    assert!(disk.attempts.is_empty() && disk.running.is_empty());
    assert_eq!(start(&mut worker, at(2.2), 3), 409, "the previous epoch");
}
