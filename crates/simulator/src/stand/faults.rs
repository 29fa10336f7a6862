//! Faults: how each strikes, and how it heals.

mod controllers;
mod machines;
mod state_service;

use super::{About, Heal, NodeAction, Out, Returned, Stand, Store};
use crate::checker::HistoryEvent;
use crate::links::{Group, Host};
use crate::script::{Moment, Nodes, Side, What};
use crate::worker::HEARTBEAT_TIMEOUT;
use machines::is_in;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_kvstore::{ClientId, Limits, RequestId};
use rand::RngExt;

/// A job with less to go than this is not called off by `cancel_now`.
const LONG_TO_GO_S: f64 = 12.0;
const BYTES_PER_KB: f64 = 1024.0;
/// Machines that hang with it at the most.
const MOST_HUNG: usize = 8;

impl Stand {
    pub(super) fn moment(&mut self, now: Time, moment: Moment, class: Option<&str>, about: &About) {
        for what in self.director.take_triggered(now, moment, class) {
            self.strike(now, &what, about);
        }
    }

    pub(super) fn heal_at(&mut self, at: Time, heal: Heal) {
        self.numbers += 1;
        self.heals.insert((at, self.numbers), heal);
    }

    pub(super) fn pick_nodes(&self, nodes: &Nodes, about: &About) -> Vec<usize> {
        match nodes {
            Nodes::Leader => self.leader.into_iter().collect(),
            Nodes::All => (0..self.labels.len()).collect(),
            Nodes::That => about.node.into_iter().collect(),
            Nodes::Number(n) => vec![*n as usize],
        }
    }

    /// Users call off jobs that run; some of the machines hang from then on.
    fn cancel_now(&mut self, now: Time, count: u32, hang_s: f64) {
        let mut running: Vec<(String, Vec<String>)> = self
            .fleet
            .with_long_to_go(LONG_TO_GO_S)
            .into_iter()
            .collect();
        let mut hang: Vec<String> = Vec::new();
        for _ in 0..count {
            if running.is_empty() {
                break;
            }
            let n = self.rng.random_range(0..running.len());
            let (job, machines) = running.swap_remove(n);
            let after = TimeSpan::secs(self.rng.random_range(0.0..0.2));
            self.users.call_off(now + after, &job);
            hang.extend(machines);
        }
        for m in hang.into_iter().take(MOST_HUNG) {
            if let Some(w) = self.fleet.worker(&m).filter(|_| hang_s > 0.0) {
                w.hung = Some(now + TimeSpan::secs(hang_s));
            }
        }
    }

    /// What was kept for the next leader reaches every controller.
    pub(super) fn bring_kept_reports(&mut self, now: Time) {
        for (machine, body) in std::mem::take(&mut self.kept) {
            for node in 0..self.labels.len() {
                self.brought += 1;
                let after = TimeSpan::secs(self.rng.random_range(0.0..2.0));
                let copy = Heal::Heartbeat(machine.clone(), node, body.clone());
                self.heal_at(now + after, copy);
            }
        }
    }

    pub(super) fn group(&self, side: &Side, about: &About) -> Group {
        match side {
            Side::Controller(n) => Group::These(vec![Host::Node(*n as usize)]),
            Side::Leader => Group::These(self.leader.map(Host::Node).into_iter().collect()),
            Side::Controllers => Group::These((0..self.labels.len()).map(Host::Node).collect()),
            Side::Zone(z) => Group::Zone(z.clone()),
            Side::Machines => Group::Machines,
            Side::That => Group::These(
                about
                    .machine
                    .clone()
                    .map(Host::Machine)
                    .into_iter()
                    .collect(),
            ),
            Side::State => Group::These(vec![Host::State]),
            Side::Cloud => Group::These(vec![Host::Cloud]),
            Side::Users => Group::These(vec![Host::Users]),
        }
    }

    pub(super) fn strike(&mut self, now: Time, what: &What, about: &About) {
        self.record_fault(now, what);
        let until = |s: f64| now + TimeSpan::secs(s);
        match what {
            What::SitePower {
                zone,
                for_s,
                machines,
            } => self.cut_power(now, zone, *for_s, *machines),
            What::Kill { nodes, for_s } => {
                let nodes = self.pick_nodes(nodes, about);
                self.stop_nodes(now, nodes, *for_s, false);
            }
            What::Roll {
                nodes,
                build,
                gently,
                for_s,
            } => {
                let build = self.script.build(build.as_deref());
                let nodes = self.pick_nodes(nodes, about);
                self.roll_nodes(now, nodes, build, *gently, *for_s);
            }
            What::Pause { nodes, for_s } => {
                let nodes = self.pick_nodes(nodes, about);
                self.stop_nodes(now, nodes, *for_s, true);
            }
            What::Busy {
                nodes,
                each_ms,
                for_s,
            } => {
                let nodes = self.pick_nodes(nodes, about);
                self.slow_nodes(now, nodes, *each_ms, *for_s);
            }
            What::Vanish { count, that, zone } => {
                let that = about.machine.clone().filter(|_| *that);
                self.vanish(now, *count as usize, zone.as_deref(), that);
            }
            What::Hang { count, that, for_s } => {
                let mut names = self.pick_machines(*count as usize, |w| !w.tasks.is_empty());
                names.extend(about.machine.clone().filter(|_| *that));
                self.change_workers(names, |w| w.hung = Some(until(*for_s)));
            }
            What::Faulty { count, zone, for_s } => {
                let count = if *count == 0 { u32::MAX } else { *count };
                let names = self.pick_machines(count as usize, is_in(zone.as_deref()));
                self.change_workers(names, |w| w.faulty = Some(until(*for_s)));
            }
            What::Slow {
                count,
                factor,
                for_s,
            } => self.slow_machines(now, *count as usize, *factor, *for_s),
            What::SpotTaken { share, notice_s } => self.take_spot_machines(now, *share, *notice_s),
            What::StateOut { for_s } => self.state_out(now, *for_s, Heal::StateOut),
            What::StateLimits {
                value_kb,
                txn_ops,
                write_rps,
                for_s,
            } => {
                let limits = Limits {
                    write_rps: *write_rps,
                    value_bytes: (value_kb * BYTES_PER_KB) as usize,
                    txn_ops: *txn_ops as usize,
                    ..Stand::usual_state_limits(&self.script)
                };
                self.set_state_limits(now, limits);
                if *for_s > 0.0 {
                    self.heal_at(until(*for_s), Heal::StateLimits);
                }
            }
            What::StateFull { for_s } => self.fill_state_disk(now, *for_s),
            What::StateKilled { for_s, last_write } => {
                self.kill_state(now, TimeSpan::secs(*for_s), *last_write);
            }
            What::StateRefuses { nodes, for_s } => {
                let nodes = self.pick_nodes(nodes, about);
                self.set_refused(&nodes, true);
                self.heal_at(until(*for_s), Heal::StateRefuses(nodes));
            }
            What::StateSlow { delay_s, for_s } => {
                let delay = TimeSpan::secs(*delay_s);
                self.links.slow_state(delay, until(*for_s));
            }
            What::CloudOut { for_s } => {
                self.cloud.out = true;
                self.heal_at(until(*for_s), Heal::CloudOut);
            }
            What::CloudShort { for_s } => {
                self.cloud.short = true;
                self.heal_at(until(*for_s), Heal::CloudShort);
            }
            What::CloudSlow { delay_s, for_s } => {
                let delay = TimeSpan::secs(*delay_s);
                self.links.slow_cloud(delay, until(*for_s));
            }
            What::Cut {
                a,
                b,
                one_way,
                mode,
                for_s,
            } => {
                let (a, b) = (self.group(a, about), self.group(b, about));
                self.links.cut(a, b, *one_way, *mode, until(*for_s));
            }
            What::LateWrites {
                share,
                at_once: false,
                for_s,
            } => self.late_writes = (*share, until(*for_s)),
            What::LateWrites { share, for_s, .. } => {
                self.lost_answers = (*share, until(*for_s));
            }
            What::LateReports {
                share,
                for_next: false,
                for_s,
            } => self.late_reports = (*share, until(*for_s)),
            What::LateReports { share, for_s, .. } => {
                self.kept_reports = (*share, until(*for_s));
            }
            What::LateCommands {
                share,
                again,
                most_s,
                for_s,
            } => {
                let until = until(*for_s);
                self.late_commands.begin(*share, *again, *most_s, until);
            }
            What::MachineMute { count, zone, for_s } => {
                let names = self.pick_in(*count, zone.as_deref());
                self.change_workers(names, |w| w.mute = Some(until(*for_s)));
            }
            What::CancelNow { count, hang_s } => self.cancel_now(now, *count, *hang_s),
            What::CancelAtEnd { share, for_s } => self.cancel_at_end = (*share, until(*for_s)),
            What::OddRequests { for_s } => self.users.be_odd(until(*for_s)),
            What::CloseLooks { for_s } => self.users.look_closely(until(*for_s)),
            What::MachineDeaf { count, zone, for_s } => {
                let names = self.pick_in(*count, zone.as_deref());
                self.change_workers(names, |w| w.deaf = Some(until(*for_s)));
            }
            What::LoseAnswer {} => self.lost_calls.extend(about.call),
        }
    }

    /// Notes the fault in the log and the history, and until when it lasts at least.
    fn record_fault(&mut self, now: Time, what: &What) {
        let value = serde_json::to_value(what).unwrap_or_default();
        let lasts = ["for_s", "hang_s"].map(|field| value[field].as_f64().unwrap_or(0.0));
        self.quiet = self.quiet.max(now + TimeSpan::secs(lasts[0].max(lasts[1])));
        let text = value.to_string();
        let at_s = now.0 as f64 / 1e6;
        tracing::info!(at_s, fault = %text, "fault");
        self.marks.push((at_s, what.name()));
        let event = HistoryEvent::FaultInjected { what: text };
        self.checker.record(now, event);
    }

    pub(super) fn heal(&mut self, now: Time, heal: Heal) {
        match heal {
            Heal::Node(action) => self.out.push(Out::Node(action)),
            Heal::Power(zone) => {
                self.fleet.freeze(&zone, false);
                self.cloud.dark.remove(&zone);
            }
            Heal::StateOut => {
                if let Some(s) = &mut self.state {
                    s.set_outage(now, false);
                }
            }
            Heal::StateLimits => {
                let limits = Stand::usual_state_limits(&self.script);
                self.set_state_limits(now, limits);
            }
            Heal::StateBack => {
                if let Store::Memory(disk) = &self.store {
                    disk.restore_power();
                }
                match self.open_state(now) {
                    Ok(s) => self.state = Some(s),
                    Err(e) => {
                        tracing::error!(error = %e, "the state service cannot start");
                        self.heal_at(now + TimeSpan::secs(1.0), Heal::StateBack);
                    }
                }
            }
            Heal::StateFull => {
                if let Store::Memory(disk) = &self.store {
                    disk.set_full(false);
                }
            }
            Heal::StateRefuses(nodes) => {
                self.set_refused(&nodes, false);
            }
            Heal::Write(node, r) => {
                self.numbers += 1;
                // Nobody waits for its answer any more.
                let ticket = RequestId(u64::MAX - self.numbers);
                if let Some(state) = &mut self.state {
                    state.handle(now, ClientId(node as u32), ticket, &r);
                }
                self.flush(now);
            }
            Heal::Heartbeat(machine, node, body) => {
                self.next_ticket += 1;
                let (ticket, from) = (self.next_ticket, Host::Machine(machine));
                self.sent.insert(ticket, (from.clone(), now));
                self.out.push(Out::Send {
                    ticket,
                    from,
                    node,
                    method: "POST",
                    path: "/checkin".into(),
                    body,
                    patience: HEARTBEAT_TIMEOUT,
                });
            }
            Heal::Commands(machine, body) => self.late_commands_arrive(now, &machine, body),
            Heal::Silence(call, node) => self.give(call, Host::State, node, Returned::Silence),
            Heal::CloudOut => self.cloud.out = false,
            Heal::CloudShort => self.cloud.short = false,
            Heal::Fast(before) => {
                for (m, speed) in before {
                    if let Some(w) = self.fleet.worker(&m) {
                        w.speed = speed;
                    }
                }
            }
        }
    }
}
