//! A machine's whole side of the protocol as one state machine: reports and their
//! answers, direct commands, sessions and what is on the machine.

use crate::attempts::{Attempts, Effect, Times};
use crate::link::{Link, Pace};
use pebblefold_wire::decode;
use pebblefold_wire::types::{MachineId, MachineTypeName, NodeId, Resources, Time, Zone};
use pebblefold_wire::workers::{
    Command, DirectCommands, Heartbeat, HeartbeatResponse, LeaderRedirect,
};
use rand::Rng;

/// What a machine is.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where direct commands go.
    pub addr: String,
    /// Its type.
    pub kind: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has.
    pub has: Resources,
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    machine: Machine,
    labels: Vec<NodeId>,
    link: Link,
    /// What is on the machine.
    pub attempts: Attempts,
    /// When the machine is taken, if that is known.
    taken: Option<Time>,
    before: Vec<Effect>,
}

impl Worker {
    /// A worker on a machine that talks to the controllers of these names.
    pub fn new(machine: Machine, labels: Vec<NodeId>, link: Link, times: Times) -> Worker {
        Worker {
            attempts: Attempts::new(machine.has, times),
            machine,
            labels,
            link,
            taken: None,
            before: Vec::new(),
        }
    }

    /// The link to the controllers.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// What is to be done, in this order.
    pub fn take(&mut self) -> Vec<Effect> {
        let mut all = std::mem::take(&mut self.before);
        all.extend(self.attempts.take());
        all
    }

    /// The cloud takes the machine then.
    pub fn notice(&mut self, at: Time) {
        if self.taken.replace(at) != Some(at) {
            self.link.touch();
        }
    }

    /// Its heartbeat now; `None` while the lease is over: what is on the machine then
    /// counts no more, and is told by nobody.
    pub fn report(&mut self, now: Time) -> Option<Heartbeat> {
        if self.link.expired(now) {
            return None;
        }
        let m = &self.machine;
        Some(Heartbeat {
            machine: m.id.clone(),
            addr: m.addr.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            epoch: self.link.epoch(),
            sequence: self.link.count(),
            token: self.link.token(),
            notice_s: self.taken.map(|t| t.since(now).as_secs()),
            tasks: self.attempts.reported(),
        })
    }

    /// Begins a report under this ticket, if one is due: to which controller, and
    /// what it says.
    pub fn due(
        &mut self,
        now: Time,
        ticket: u64,
        rng: &mut impl Rng,
    ) -> Option<(usize, Heartbeat)> {
        if self.attempts.changed() {
            self.link.touch();
        }
        if !self.link.due(now, ticket, rng) {
            return None;
        }
        let heartbeat = self.report(now)?;
        Some((self.link.node(), heartbeat))
    }

    /// The answer to a report; `None`: none came.
    pub fn answered(
        &mut self,
        now: Time,
        ticket: u64,
        answer: Option<(u16, &[u8])>,
        rng: &mut impl Rng,
    ) {
        if !self.link.awaits(ticket) {
            return;
        }
        match answer {
            Some((200, body)) => match decode::<HeartbeatResponse>(body) {
                Some(a) => {
                    let before = self.link.token();
                    if self.link.answered(now, a.token) {
                        self.execute(now, before, &a.commands);
                    }
                }
                None => self.link.sent_away(now, None, rng),
            },
            Some((421, body)) => {
                let told = decode::<LeaderRedirect>(body).and_then(|e| e.report_to);
                let to = told.and_then(|l| self.labels.iter().position(|k| *k == l));
                self.link.sent_away(now, to, rng);
            }
            _ => self.link.sent_away(now, None, rng),
        }
    }

    /// Commands sent straight to the machine: the status, to be answered with the
    /// report after them.
    pub fn commanded(&mut self, now: Time, body: &[u8]) -> u16 {
        let Some(d) = decode::<DirectCommands>(body) else {
            return 400;
        };
        let before = self.link.token();
        if !self.link.takes(now, d.token, d.epoch) {
            return 409;
        }
        self.execute(now, before, &d.commands);
        200
    }

    fn execute(
        &mut self,
        now: Time,
        before: pebblefold_wire::types::FencingToken,
        commands: &[Command],
    ) {
        // A higher token is on disk before anything is done in its name: started
        // again, the machine must not obey whoever held the one before.
        if self.link.token() > before {
            self.before.push(Effect::Token(self.link.token()));
        }
        for c in commands {
            self.attempts.command(now, c);
        }
    }

    /// Lets time pass. Once the lease is over the next epoch begins: its record
    /// comes after the proof that everything of the last one is gone.
    pub fn advance(&mut self, now: Time) {
        if self.link.renewed(now) {
            let epoch = self.link.epoch();
            tracing::info!(machine = %self.machine.id, epoch = epoch.0, "lease expired, next epoch begins");
            self.attempts.lease_over(epoch);
        }
        self.attempts.advance(now);
    }
}

/// The pace that a link needs, from seconds.
pub fn pace(report_s: f64, lease_s: f64) -> Pace {
    Pace {
        report: pebblefold_wire::types::TimeSpan::secs(report_s),
        lease: pebblefold_wire::types::TimeSpan::secs(lease_s),
    }
}
