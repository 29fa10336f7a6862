//! Users who look closely, call jobs off all at once, or send what is to be refused.

use super::{Job, PATIENCE, UserRequest, Users, Waiting};
use crate::checker::RequestKind;
use pebblefold_controller::types::Time;
use pebblefold_controller::wire::users::Submission;
use pebblefold_controller::wire::{decode, encode};
use rand::RngExt;
use rand::rngs::StdRng;

/// How often each controller is asked about a job at once.
const LOOKS: usize = 2;
/// Share of those who look that call the job off.
const CALL_OFF: f64 = 0.15;
/// Fields without which a submission is none.
const FIELDS: [&str; 6] = ["crew", "shape", "pieces", "vcpus", "bundle", "same_place"];

impl Users {
    /// Users look closely until then.
    pub fn look_closely(&mut self, until: Time) {
        self.looks_until = until;
    }

    /// Users send odd requests until then.
    pub fn be_odd(&mut self, until: Time) {
        self.odd_until = until;
    }

    /// A job's user calls it off then.
    pub fn call_off(&mut self, at: Time, job: &str) {
        self.ask_at(at, job, RequestKind::Cancel);
    }

    /// What is asked at once about jobs of which somebody was just told something new:
    /// at every controller, whatever the load balancer thinks of it.
    pub fn looks(
        &mut self,
        now: Time,
        rng: &mut StdRng,
        mut ticket: impl FnMut() -> u64,
    ) -> Vec<UserRequest> {
        let nodes = self.health.len();
        for job in std::mem::take(&mut self.looks) {
            for _ in 0..LOOKS {
                for node in 0..nodes {
                    self.ask_node(now, &job, RequestKind::Poll, 0, node, true, &mut ticket);
                }
                let node = rng.random_range(0..nodes);
                self.ask_node(now, &job, RequestKind::Submit, 0, node, true, &mut ticket);
            }
            if rng.random_bool(CALL_OFF) {
                self.ask(now, &job, RequestKind::Cancel, 0, rng, &mut ticket);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// One odd request.
    pub(super) fn ask_oddly(
        &mut self,
        now: Time,
        rng: &mut StdRng,
        ticket: &mut impl FnMut() -> u64,
    ) {
        let node = rng.random_range(0..self.health.len());
        let any = |rng: &mut StdRng, jobs: Vec<&String>| {
            let n = jobs.len();
            (n > 0).then(|| jobs[rng.random_range(0..n)].clone())
        };
        let of = |fits: fn(&Job) -> bool| self.jobs.iter().filter(move |(_, j)| fits(j));
        let open = of(|j| j.accepted && !j.over).map(|(id, _)| id).collect();
        let over = of(|j| j.accepted && j.over).map(|(id, _)| id).collect();
        let (open, over) = (any(rng, open), any(rng, over));
        match (rng.random_range(0..4), open, over) {
            (0, Some(job), _) => {
                self.ask_node(now, &job, RequestKind::Submit, 0, node, true, ticket)
            }
            (1, Some(job), _) => {
                // Its user's tool has forgotten a field: the job is known all the same.
                let whole = std::mem::take(&mut self.jobs.entry(job.clone()).or_default().body);
                let lacking = without(&whole, FIELDS[rng.random_range(0..FIELDS.len())]);
                self.jobs.entry(job.clone()).or_default().body = lacking;
                self.ask_node(now, &job, RequestKind::Submit, 0, node, true, ticket);
                self.jobs.entry(job).or_default().body = whole;
            }
            (2, _, Some(job)) => {
                self.ask_node(now, &job, RequestKind::Cancel, 0, node, true, ticket)
            }
            _ => self.ask_for_nothing(now, node, rng, ticket),
        }
    }

    /// A job that cannot run, or is none, and at once a question about it.
    fn ask_for_nothing(
        &mut self,
        now: Time,
        node: usize,
        rng: &mut StdRng,
        ticket: &mut impl FnMut() -> u64,
    ) {
        let Some(like) = self.jobs.values().find(|j| !j.body.is_empty()) else {
            return;
        };
        let Some(mut spec) = decode::<Submission>(&like.body) else {
            return;
        };
        let job = format!("wk-8{:05}", rng.random_range(0..100_000));
        spec.id = job.as_str().into();
        let (body, wanted) = match rng.random_range(0..4) {
            0 => {
                spec.team = "nobody".into();
                (encode(&spec), 422)
            }
            1 => {
                spec.cpus = 1e6;
                (encode(&spec), 422)
            }
            2 => {
                spec.tasks = 0;
                (encode(&spec), 400)
            }
            _ => {
                let field = FIELDS[rng.random_range(0..FIELDS.len())];
                (without(&encode(&spec), field), 400)
            }
        };
        let t = ticket();
        let waiting = Waiting::Odd {
            job: job.clone(),
            wanted,
        };
        self.waiting.insert(t, (now + PATIENCE, waiting));
        self.out.push(UserRequest {
            ticket: t,
            node,
            method: "POST",
            path: "/submissions".into(),
            body,
            patience: PATIENCE,
        });
        self.ask_at(now + PATIENCE, &job, RequestKind::Poll);
    }
}

/// A message without one of its fields.
fn without(body: &[u8], field: &str) -> Vec<u8> {
    let mut map: serde_json::Map<String, serde_json::Value> = decode(body).unwrap_or_default();
    map.remove(field);
    encode(&map)
}
