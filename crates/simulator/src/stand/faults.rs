//! Faults: how each strikes, and how it heals.

use super::{About, Heal, NodeAction, Out, Returned, Stand, Store};
use crate::checker::HistoryEvent;
use crate::links::{Group, Host};
use crate::script::{LastWrite, Moment, Nodes, PowerLoss, Side, What};
use crate::worker::HEARTBEAT_TIMEOUT;
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_kvstore::faulty_disk::UnsyncedWrites;
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

    /// Some of the machines, chosen by chance.
    pub(super) fn pick_machines(
        &mut self,
        count: usize,
        fits: impl Fn(&crate::worker::Worker) -> bool,
    ) -> Vec<String> {
        let workers = self.fleet.workers().iter();
        let mut names: Vec<String> = workers
            .filter(|(_, w)| fits(w))
            .map(|(m, _)| m.clone())
            .collect();
        let mut out = Vec::new();
        while out.len() < count && !names.is_empty() {
            let i = self.rng.random_range(0..names.len());
            out.push(names.swap_remove(i));
        }
        out
    }

    /// So many machines with tasks, in a zone if one is named; 0: all that are there.
    fn pick_in(&mut self, count: u32, zone: Option<&str>) -> Vec<String> {
        let there = |w: &crate::worker::Worker| zone.is_none_or(|z| w.machine.zone.as_str() == z);
        match count {
            0 => self.pick_machines(usize::MAX, there),
            n => self.pick_machines(n as usize, |w| there(w) && !w.tasks.is_empty()),
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

    pub(super) fn stop_nodes(&mut self, now: Time, nodes: Vec<usize>, for_s: f64, pause: bool) {
        for n in nodes {
            let (stop, go) = if pause {
                (NodeAction::Pause(n), NodeAction::Continue(n))
            } else {
                (NodeAction::Kill(n), NodeAction::Start(n))
            };
            self.out.push(Out::Node(stop));
            self.heal_at(now + TimeSpan::secs(for_s), Heal::Node(go));
        }
    }

    pub(super) fn strike(&mut self, now: Time, what: &What, about: &About) {
        let value = serde_json::to_value(what).unwrap_or_default();
        let lasts = ["for_s", "hang_s"].map(|f| value[f].as_f64().unwrap_or(0.0));
        self.quiet = self.quiet.max(now + TimeSpan::secs(lasts[0].max(lasts[1])));
        let text = value.to_string();
        tracing::info!(at_s = now.0 as f64 / 1e6, fault = %text, "fault");
        self.marks.push((now.0 as f64 / 1e6, what.name()));
        self.checker
            .record(now, HistoryEvent::FaultInjected { what: text });
        let until = |s: f64| now + TimeSpan::secs(s);
        match what {
            What::SitePower {
                zone,
                for_s,
                machines,
            } => {
                let here = |n: &usize| self.script.cluster.controllers[*n] == *zone;
                let nodes: Vec<usize> = (0..self.labels.len()).filter(here).collect();
                self.stop_nodes(now, nodes, *for_s, false);
                match machines {
                    PowerLoss::Freeze => self.fleet.freeze(zone, true),
                    PowerLoss::Die => {
                        let there = self.cloud.machines();
                        let names: Vec<String> = there
                            .filter(|m| m.zone.as_str() == zone)
                            .map(|m| m.id.to_string())
                            .collect();
                        for m in names {
                            self.cloud.kill(now, &m);
                        }
                    }
                }
                self.cloud.dark.insert(zone.clone());
                self.heal_at(until(*for_s), Heal::Power(zone.clone()));
                self.happen(now);
            }
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
                for n in self.pick_nodes(nodes, about) {
                    self.out.push(Out::Node(NodeAction::Install(n, build)));
                    if *gently {
                        self.out.push(Out::Node(NodeAction::End(n)));
                        self.heal_at(until(*for_s), Heal::Node(NodeAction::Start(n)));
                    } else {
                        self.stop_nodes(now, vec![n], *for_s, false);
                    }
                }
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
                for n in self.pick_nodes(nodes, about) {
                    let slow = NodeAction::Busy(n, TimeSpan::secs(each_ms / 1000.0));
                    self.out.push(Out::Node(slow));
                    let heal = Heal::Node(NodeAction::Busy(n, TimeSpan::ZERO));
                    self.heal_at(until(*for_s), heal);
                }
            }
            What::Vanish { count, that, zone } => {
                let mut names = self.pick_machines(*count as usize, |w| {
                    zone.as_ref().is_none_or(|z| w.machine.zone.as_str() == z)
                });
                names.extend(about.machine.clone().filter(|_| *that));
                for m in names {
                    self.cloud.kill(now, &m);
                }
                self.happen(now);
            }
            What::Hang { count, that, for_s } => {
                let mut names = self.pick_machines(*count as usize, |w| !w.tasks.is_empty());
                names.extend(about.machine.clone().filter(|_| *that));
                for m in names {
                    if let Some(w) = self.fleet.worker(&m) {
                        w.hung = Some(until(*for_s));
                    }
                }
            }
            What::Faulty { count, zone, for_s } => {
                let there = |w: &crate::worker::Worker| {
                    zone.as_ref().is_none_or(|z| w.machine.zone.as_str() == z)
                };
                let count = match count {
                    0 => usize::MAX,
                    n => *n as usize,
                };
                for m in self.pick_machines(count, there) {
                    if let Some(w) = self.fleet.worker(&m) {
                        w.faulty = Some(until(*for_s));
                    }
                }
            }
            What::Slow {
                count,
                factor,
                for_s,
            } => {
                let names = self.pick_machines(*count as usize, |_| true);
                let mut before = Vec::new();
                for m in names {
                    if let Some(w) = self.fleet.worker(&m) {
                        before.push((m.clone(), w.speed));
                        w.speed /= factor.max(1.0);
                    }
                }
                self.heal_at(until(*for_s), Heal::Fast(before));
            }
            What::SpotTaken { share, notice_s } => {
                let spots = self
                    .fleet
                    .workers()
                    .values()
                    .filter(|w| w.machine.spot)
                    .count();
                let count = (spots as f64 * share).ceil() as usize;
                for m in self.pick_machines(count, |w| w.machine.spot && w.taken.is_none()) {
                    let notice = notice_s * self.rng.random_range(0.5..1.5);
                    if let Some(w) = self.fleet.worker(&m) {
                        w.taken = Some(now + TimeSpan::secs(notice));
                        w.touch();
                    }
                }
            }
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
            What::StateFull { for_s } => match &self.store {
                Store::Memory(disk) => {
                    disk.set_full(true);
                    self.heal_at(until(*for_s), Heal::StateFull);
                }
                // A real disk is not filled for a rehearsal: the service does
                // what it would do.
                Store::File(_) => self.state_out(now, *for_s, Heal::StateOut),
            },
            What::StateKilled { for_s, last_write } => {
                let down = TimeSpan::secs(*for_s);
                match (&self.store, last_write) {
                    (Store::Memory(disk), LastWrite::Everything | LastWrite::Torn) => {
                        let left = match last_write {
                            LastWrite::Torn => UnsyncedWrites::Torn(self.rng.random()),
                            _ => UnsyncedWrites::Kept,
                        };
                        disk.schedule_power_failure(
                            disk.operation_count() + self.rng.random_range(1..6),
                            left,
                        );
                        self.dying = Some(down);
                    }
                    _ => self.end_state(now, down),
                }
            }
            What::StateRefuses { nodes, for_s } => {
                let nodes = self.pick_nodes(nodes, about);
                for n in &nodes {
                    if let Some(s) = &mut self.state {
                        s.set_client_refused(ClientId(*n as u32), true);
                    }
                }
                self.heal_at(until(*for_s), Heal::StateRefuses(nodes));
            }
            What::StateSlow { delay_s, for_s } => {
                self.links
                    .slow_state(TimeSpan::secs(*delay_s), until(*for_s));
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
                self.links
                    .slow_cloud(TimeSpan::secs(*delay_s), until(*for_s));
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
                for m in self.pick_in(*count, zone.as_deref()) {
                    if let Some(w) = self.fleet.worker(&m) {
                        w.mute = Some(until(*for_s));
                    }
                }
            }
            What::CancelNow { count, hang_s } => self.cancel_now(now, *count, *hang_s),
            What::CancelAtEnd { share, for_s } => self.cancel_at_end = (*share, until(*for_s)),
            What::OddRequests { for_s } => self.users.be_odd(until(*for_s)),
            What::CloseLooks { for_s } => self.users.look_closely(until(*for_s)),
            What::MachineDeaf { count, zone, for_s } => {
                for m in self.pick_in(*count, zone.as_deref()) {
                    if let Some(w) = self.fleet.worker(&m) {
                        w.deaf = Some(until(*for_s));
                    }
                }
            }
            What::LoseAnswer {} => self.lost_calls.extend(about.call),
        }
    }

    fn set_state_limits(&mut self, now: Time, limits: Limits) {
        self.state_limits = limits;
        if let Some(state) = &mut self.state {
            state.set_limits(now, limits);
        }
    }

    pub(super) fn state_out(&mut self, now: Time, for_s: f64, heal: Heal) {
        if let Some(s) = &mut self.state {
            s.set_outage(now, true);
        }
        self.heal_at(now + TimeSpan::secs(for_s), heal);
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
                for n in nodes {
                    if let Some(s) = &mut self.state {
                        s.set_client_refused(ClientId(n as u32), false);
                    }
                }
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
