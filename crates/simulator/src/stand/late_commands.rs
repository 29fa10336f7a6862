//! Commands that machines carry out late: direct commands that are held up, and copies of
//! commands that were carried out and answered before. Token and session decide whether one
//! still counts.

use super::{Heal, Stand};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::workers::{Command, DirectCommands, HeartbeatResponse};
use pebblefold_controller::wire::{decode, encode};
use rand::RngExt;

/// The least delay of a command that is held up, in seconds.
const LEAST_HELD_UP_S: f64 = 2.0;
/// The least delay of a copy, in seconds.
const LEAST_COPY_DELAY_S: f64 = 0.1;
/// When commands are tried again that reach a machine which stands still.
const STILL: TimeSpan = TimeSpan::millis(100);

/// Which share of commands is late, by how much at the most, and until when.
#[derive(Clone, Copy, Debug, Default)]
struct Lateness {
    share: f64,
    most_s: f64,
    until: Option<Time>,
}

/// What the fault `late_commands` does now, and did so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LateCommands {
    held_up: Lateness,
    copied: Lateness,
    /// Copies that a machine has carried out.
    pub(super) repeated: u64,
}

impl LateCommands {
    /// Begins the fault. `again`: copies arrive, and nothing is held up.
    pub(super) fn begin(&mut self, share: f64, again: bool, most_s: f64, until: Time) {
        let lateness = Lateness {
            share,
            most_s,
            until: Some(until),
        };
        if again {
            self.copied = lateness;
        } else {
            self.held_up = lateness;
        }
    }
}

impl Stand {
    /// The delay of a command that is late; `None`: it is not.
    fn delay(&mut self, now: Time, lateness: Lateness, least_s: f64) -> Option<TimeSpan> {
        let is_late =
            lateness.until.is_some_and(|t| now < t) && self.rng.random_bool(lateness.share);
        is_late.then(|| {
            let most_s = lateness.most_s.max(least_s + 0.1);
            TimeSpan::secs(self.rng.random_range(least_s..most_s))
        })
    }

    /// Whether direct commands are held up on their way; they arrive later.
    pub(super) fn holds_up_commands(&mut self, now: Time, machine: &str, body: &[u8]) -> bool {
        let delay = self.delay(now, self.late_commands.held_up, LEAST_HELD_UP_S);
        if let Some(delay) = delay {
            self.heal_at(now + delay, Heal::Commands(machine.into(), body.to_vec()));
        }
        delay.is_some()
    }

    /// Direct commands reach a machine.
    pub(super) fn commanded(
        &mut self,
        now: Time,
        machine: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let commands = decode::<DirectCommands>(body).map(|d| d.commands);
        // A direct command may be carried out at any later time of the same token and session:
        // only a stop is harmless then.
        let is_stop = |command: &Command| matches!(command, Command::Stop { .. });
        if !commands.unwrap_or_default().iter().all(is_stop) {
            let what = format!("{machine}: a direct command that is no stop");
            self.checker.report_protocol_breach(now, what);
        }
        let answer = self.fleet.commanded(now, machine, body);
        if matches!(answer, Some((200, _))) {
            self.copy_commands(now, machine, body.to_vec());
        }
        answer
    }

    /// The answer to a report has been carried out: a copy of its commands may arrive later.
    pub(super) fn copy_answer(&mut self, now: Time, machine: &str, body: &[u8]) {
        let Some(answer) = decode::<HeartbeatResponse>(body) else {
            return;
        };
        let Some(worker) = self.fleet.workers().get(machine) else {
            return;
        };
        if answer.commands.is_empty() {
            return;
        }
        let copy = DirectCommands {
            token: answer.token,
            epoch: worker.epoch(),
            commands: answer.commands,
        };
        self.copy_commands(now, machine, encode(&copy));
    }

    fn copy_commands(&mut self, now: Time, machine: &str, body: Vec<u8>) {
        if let Some(delay) = self.delay(now, self.late_commands.copied, LEAST_COPY_DELAY_S) {
            self.heal_at(now + delay, Heal::Commands(machine.into(), body));
        }
    }

    /// Commands that were held up, or a copy, arrive.
    pub(super) fn late_commands_arrive(&mut self, now: Time, machine: &str, body: Vec<u8>) {
        if self
            .fleet
            .workers()
            .get(machine)
            .is_none_or(|w| w.is_deaf(now))
        {
            return;
        }
        if !self.fleet.acts(now, machine) {
            return self.heal_at(now + STILL, Heal::Commands(machine.into(), body));
        }
        let answer = self.fleet.commanded(now, machine, &body);
        self.late_commands.repeated += u64::from(matches!(answer, Some((200, _))));
        self.collect(now);
    }
}
