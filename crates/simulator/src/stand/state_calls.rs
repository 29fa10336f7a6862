//! Calls of the controllers to the state service: what becomes of each, and which moments of
//! the script its transactions bring about.

use super::{About, Heal, Returned, Stand, TXN_OPS};
use crate::links::Host;
use crate::script::{Moment, Script};
use pebblefold_controller::core::format_version::chunk_progress::ChunkProgress;
use pebblefold_controller::core::format_version::member_versions;
use pebblefold_controller::core::job_records;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::decode;
use pebblefold_controller::wire::kvstore::{Operation, Transaction};
use pebblefold_kvstore::faulty_disk::FaultyDisk;
use pebblefold_kvstore::{
    ClientId, Disk, Limits, RequestId, RequestOutcome, Service, StorageError,
};
use pebblefold_wire::http::Request;
use rand::RngExt;
use std::path::PathBuf;

/// Bytes of a value in the state service.
const VALUE_BYTES: usize = 8 * 1024;

/// Where the state service keeps its store.
#[derive(Clone, Debug)]
pub enum Store {
    /// On a disk in memory, whose power can fail.
    Memory(FaultyDisk),
    /// In a file.
    File(PathBuf),
}

impl Store {
    fn disk(&self) -> Disk {
        match self {
            Store::Memory(disk) => {
                let disk = disk.clone();
                Disk::on_backend(move || disk.open())
            }
            Store::File(path) => Disk::in_file(path),
        }
    }
}

/// What the controllers asked the state service to change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AskedState {
    /// Puts and deletes.
    pub changes: u64,
    /// Records of chunks among them, and their bytes.
    pub records: u64,
    /// Bytes of those.
    pub bytes: u64,
}

impl AskedState {
    fn note(&mut self, txn: &Transaction) {
        self.changes += txn.ops.len() as u64;
        for op in &txn.ops {
            if let Operation::Put { key, value, .. } = op
                && key.starts_with(job_records::PROGRESS_RECORDS_PREFIX)
            {
                self.records += 1;
                self.bytes += (key.len() + job_records::json_len(value)) as u64;
            }
        }
    }
}

/// A start or an acceptance that a commit holds.
#[derive(Clone, Debug)]
pub(super) struct Noted {
    moment: Moment,
    job: String,
    machine: Option<String>,
}

#[derive(Debug)]
pub(super) struct StateCall {
    node: usize,
    leads: bool,
    noted: Vec<Noted>,
    /// Whether it claims the leader's key, and whether its answer is lost.
    claims: bool,
    unseen_machines: bool,
}

impl Stand {
    pub(super) fn open_state(&self, now: Time) -> Result<Service<Disk>, StorageError> {
        Service::open(self.store.disk(), self.state_limits, now)
    }

    /// The state service's limits while no fault changes them.
    pub(super) fn usual_state_limits(script: &Script) -> Limits {
        let state = &script.cluster.state;
        Limits {
            rps: state.rps,
            write_rps: state.write_rps,
            value_bytes: VALUE_BYTES,
            txn_ops: TXN_OPS,
        }
    }

    pub(super) fn call_state(&mut self, now: Time, node: usize, call: u64, r: &Request) {
        if self.state.is_none() {
            return self.give(call, Host::State, node, Returned::Refused);
        }
        let mut noted = Vec::new();
        let (mut leads, mut claims, mut unseen_machines) = (false, false, false);
        if r.path == "/commit"
            && let Some(txn) = decode::<Transaction>(&r.body)
        {
            let (share, until) = self.late_writes;
            if now < until && !txn.ops.is_empty() && self.rng.random_bool(share) {
                let after = TimeSpan::secs(self.rng.random_range(2.0..12.0));
                self.heal_at(now + after, Heal::Write(node, r.clone()));
                return self.give(call, Host::State, node, Returned::Silence);
            }
            let (share, until) = self.lost_answers;
            unseen_machines = now < until && self.rng.random_bool(share);
            let holds = [
                member_versions::LEGACY_LEADER_KEY,
                member_versions::LEADER_KEY,
            ];
            claims = txn.ops.iter().any(
                |op| matches!(op, Operation::Put { key, .. } if holds.contains(&key.as_str())),
            );
            self.asked.note(&txn);
            leads = txn
                .conditions
                .iter()
                .any(|c| holds.contains(&c.key.as_str()));
            if self.director.has_trigger(Moment::Accepted)
                || self.director.has_trigger(Moment::StartCommitted)
            {
                noted = self.note(&txn);
            }
        }
        if let Some(state) = &mut self.state {
            state.handle(now, ClientId(node as u32), RequestId(call), r);
        }
        let open = StateCall {
            node,
            leads,
            noted,
            claims,
            unseen_machines,
        };
        self.state_calls.insert(call, open);
        self.flush(now);
    }

    /// What a transaction accepts and starts, as its records say.
    fn note(&mut self, txn: &Transaction) -> Vec<Noted> {
        let mut out = Vec::new();
        for op in &txn.ops {
            let Operation::Put { key, value, .. } = op else {
                continue;
            };
            if let Some(job) = key.strip_prefix(job_records::SUBMISSIONS_PREFIX) {
                out.push(Noted {
                    moment: Moment::Accepted,
                    job: job.into(),
                    machine: None,
                });
            }
            let Some((job, _)) = key
                .strip_prefix(job_records::PROGRESS_RECORDS_PREFIX)
                .and_then(|k| k.split_once('/'))
            else {
                continue;
            };
            let places = ChunkProgress::read(value).map_or(Vec::new(), |p| p.assignments);
            for (task, attempt, machine, _) in places {
                if self.known_starts.insert(format!("{job}/{task}/{attempt}")) {
                    out.push(Noted {
                        moment: Moment::StartCommitted,
                        job: job.into(),
                        machine: Some(machine.to_string()),
                    });
                }
            }
        }
        out
    }

    /// Stores what the state service has gathered, and hands out its answers.
    pub(super) fn flush(&mut self, now: Time) {
        let Some(state) = &mut self.state else {
            return;
        };
        let answers = state.flush(now);
        if let (Store::Memory(disk), Some(down)) = (&self.store, self.dying)
            && disk.is_power_off()
        {
            // Its process dies with the write: nothing of this is heard.
            return self.end_state(now, down);
        }
        for (ticket, outcome) in answers {
            let Some(open) = self.state_calls.remove(&ticket.0) else {
                continue;
            };
            let returned = match outcome {
                RequestOutcome::Reply(a) => Returned::Answer(a.status, a.body),
                RequestOutcome::Unanswered => Returned::Silence,
            };
            if matches!(returned, Returned::Answer(200, _)) {
                if open.leads {
                    self.leader = Some(open.node);
                }
                if open.claims {
                    self.bring_kept_reports(now);
                }
                for n in &open.noted {
                    let class = self.fleet.class_of(&n.job).map(String::from);
                    let about = About {
                        node: Some(open.node),
                        machine: n.machine.clone(),
                        call: Some(ticket.0),
                    };
                    self.moment(now, n.moment, class.as_deref(), &about);
                }
            }
            if open.unseen_machines {
                // Carried out, and nothing is heard of it; some callers notice that the
                // connection has ended, others wait for as long as they do.
                self.answers_lost += 1;
                let after = TimeSpan::secs(self.rng.random_range(0.0..3.0));
                self.heal_at(now + after, Heal::Silence(ticket.0, open.node));
            } else if self.state.is_none() {
                // A fault at this very moment: written, and never acknowledged.
                self.give(ticket.0, Host::State, open.node, Returned::Silence);
            } else {
                self.give(ticket.0, Host::State, open.node, returned);
            }
        }
    }

    pub(super) fn end_state(&mut self, now: Time, down: TimeSpan) {
        self.state = None;
        self.dying = None;
        for (call, open) in std::mem::take(&mut self.state_calls) {
            self.give(call, Host::State, open.node, Returned::Silence);
        }
        self.heal_at(now + down, Heal::StateBack);
    }
}
