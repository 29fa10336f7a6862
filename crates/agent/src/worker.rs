//! An agent's whole side of the protocol as one state machine: heartbeats and their
//! responses, direct commands, agent epochs and the task attempts on the machine.

use crate::attempts::{Attempts, Effect, Timeouts};
use crate::link::{Link, LinkTimes};
use pebblefold_wire::decode;
use pebblefold_wire::types::{MachineId, MachineTypeName, NodeId, Resources, Time, Zone};
use pebblefold_wire::workers::{
    Command, DirectCommands, Heartbeat, HeartbeatResponse, LeaderRedirect,
};
use rand::Rng;

/// The machine that an agent runs on, as heartbeats describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// The cloud's name of the machine.
    pub id: MachineId,
    /// The address for direct commands.
    pub addr: String,
    /// The machine type.
    pub machine_type: MachineTypeName,
    /// The zone that the machine is in.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The resources that tasks may use.
    pub capacity: Resources,
}

/// The state of an agent. It does no input or output: the driver performs its effects.
#[derive(Debug)]
pub struct Worker {
    machine: Machine,
    controller_ids: Vec<NodeId>,
    link: Link,
    /// The task attempts on the machine.
    pub attempts: Attempts,
    /// When the cloud terminates the machine, if it has given notice.
    terminates_at: Option<Time>,
    /// Writes of a higher token, which precede the effects of `attempts`.
    token_effects: Vec<Effect>,
}

impl Worker {
    /// The agent of a machine, with the ids of the controllers in the order that `link`
    /// counts them.
    pub fn new(
        machine: Machine,
        controller_ids: Vec<NodeId>,
        link: Link,
        timeouts: Timeouts,
    ) -> Worker {
        Worker {
            attempts: Attempts::new(machine.capacity, timeouts),
            machine,
            controller_ids,
            link,
            terminates_at: None,
            token_effects: Vec::new(),
        }
    }

    /// The connection to the controllers.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// The effects since the last call, in the order in which they have to be performed.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        let mut effects = std::mem::take(&mut self.token_effects);
        effects.extend(self.attempts.take_effects());
        effects
    }

    /// Handles the cloud's notice that it terminates the machine at this instant.
    pub fn termination_notice(&mut self, at: Time) {
        if self.terminates_at.replace(at) != Some(at) {
            self.link.note_change();
        }
    }

    /// A heartbeat with the next sequence number; `None` while the lease is expired:
    /// attempts of an expired epoch aren't reported.
    pub fn build_heartbeat(&mut self, now: Time) -> Option<Heartbeat> {
        if self.link.expired(now) {
            return None;
        }
        let m = &self.machine;
        Some(Heartbeat {
            machine: m.id.clone(),
            addr: m.addr.clone(),
            kind: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            epoch: self.link.epoch(),
            sequence: self.link.next_sequence(),
            token: self.link.token(),
            notice_s: self.terminates_at.map(|t| t.since(now).as_secs()),
            tasks: self.attempts.reported_tasks(),
        })
    }

    /// Begins a heartbeat under this request id if one is due. Returns the index of the
    /// controller to send it to, and the heartbeat.
    pub fn due(
        &mut self,
        now: Time,
        request_id: u64,
        rng: &mut impl Rng,
    ) -> Option<(usize, Heartbeat)> {
        if self.attempts.take_changed() {
            self.link.note_change();
        }
        if !self.link.begin_heartbeat(now, request_id, rng) {
            return None;
        }
        let heartbeat = self.build_heartbeat(now)?;
        Some((self.link.controller(), heartbeat))
    }

    /// Handles the response (status and body) to the heartbeat with this request id;
    /// `None`: no response arrived in time.
    pub fn answered(
        &mut self,
        now: Time,
        request_id: u64,
        answer: Option<(u16, &[u8])>,
        rng: &mut impl Rng,
    ) {
        if !self.link.is_in_flight(request_id) {
            return;
        }
        match answer {
            Some((200, body)) => match decode::<HeartbeatResponse>(body) {
                Some(a) => {
                    let previous_token = self.link.token();
                    if self.link.handle_response(now, a.token) {
                        self.execute(now, previous_token, &a.commands);
                    }
                }
                None => self.link.redirect(now, None, rng),
            },
            Some((421, body)) => {
                let leader = decode::<LeaderRedirect>(body).and_then(|e| e.report_to);
                let to = leader.and_then(|l| self.controller_ids.iter().position(|k| *k == l));
                self.link.redirect(now, to, rng);
            }
            _ => self.link.redirect(now, None, rng),
        }
    }

    /// Executes commands that were sent directly to the agent. Returns the HTTP status; for
    /// 200 and 409 the driver sends a heartbeat as the body.
    pub fn handle_commands(&mut self, now: Time, body: &[u8]) -> u16 {
        let Some(d) = decode::<DirectCommands>(body) else {
            return 400;
        };
        let previous_token = self.link.token();
        if !self.link.accepts_commands(now, d.token, d.epoch) {
            return 409;
        }
        self.execute(now, previous_token, &d.commands);
        200
    }

    fn execute(
        &mut self,
        now: Time,
        previous_token: pebblefold_wire::types::FencingToken,
        commands: &[Command],
    ) {
        // The higher token is on disk before any of its commands is executed: after a
        // restart, the agent must not obey the leader with the previous token.
        if self.link.token() > previous_token {
            self.token_effects.push(Effect::Token(self.link.token()));
        }
        for c in commands {
            self.attempts.command(now, c);
        }
    }

    /// Advances the time. Once the lease has expired the next epoch begins: its record
    /// follows the proof that all processes of the last epoch are gone.
    pub fn advance(&mut self, now: Time) {
        if self.link.begin_epoch_if_expired(now) {
            let epoch = self.link.epoch();
            tracing::info!(machine = %self.machine.id, epoch = epoch.0, "lease expired, next epoch begins");
            self.attempts.lease_expired(epoch);
        }
        self.attempts.advance(now);
    }
}

/// The times of a link, from times in seconds.
pub fn link_times(report_s: f64, lease_s: f64) -> LinkTimes {
    LinkTimes {
        heartbeat_interval: pebblefold_wire::types::TimeSpan::secs(report_s),
        lease_duration: pebblefold_wire::types::TimeSpan::secs(lease_s),
    }
}
