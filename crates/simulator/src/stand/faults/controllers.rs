//! Faults of controllers and whole sites: processes that end, pause or are slow.

use super::{Heal, NodeAction, Out, Stand};
use crate::script::PowerLoss;
use pebblefold_controller::types::{Time, TimeSpan};

impl Stand {
    /// Kills controllers, or pauses them, for a while.
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

    /// Ends controllers, `gently` as on a signal, and starts them with another build.
    pub(super) fn roll_nodes(
        &mut self,
        now: Time,
        nodes: Vec<usize>,
        build: Option<usize>,
        gently: bool,
        for_s: f64,
    ) {
        for n in nodes {
            self.out.push(Out::Node(NodeAction::Install(n, build)));
            if gently {
                self.out.push(Out::Node(NodeAction::End(n)));
                let start = Heal::Node(NodeAction::Start(n));
                self.heal_at(now + TimeSpan::secs(for_s), start);
            } else {
                self.stop_nodes(now, vec![n], for_s, false);
            }
        }
    }

    /// Makes controllers take so long for each turn.
    pub(super) fn slow_nodes(&mut self, now: Time, nodes: Vec<usize>, each_ms: f64, for_s: f64) {
        for n in nodes {
            let delay = TimeSpan::secs(each_ms / 1000.0);
            self.out.push(Out::Node(NodeAction::Busy(n, delay)));
            let heal = Heal::Node(NodeAction::Busy(n, TimeSpan::ZERO));
            self.heal_at(now + TimeSpan::secs(for_s), heal);
        }
    }

    /// Takes the power of a zone: its controllers end, its machines freeze or die, and
    /// its cloud rents no machines.
    pub(super) fn cut_power(&mut self, now: Time, zone: &str, for_s: f64, machines: PowerLoss) {
        let controllers = &self.script.cluster.controllers;
        let here = |n: &usize| controllers[*n] == zone;
        let nodes: Vec<usize> = (0..self.labels.len()).filter(here).collect();
        self.stop_nodes(now, nodes, for_s, false);
        match machines {
            PowerLoss::Freeze => self.fleet.freeze(zone, true),
            PowerLoss::Die => self.kill_machines_in(now, zone),
        }
        self.cloud.dark.insert(zone.into());
        self.heal_at(now + TimeSpan::secs(for_s), Heal::Power(zone.into()));
        self.happen(now);
    }

    fn kill_machines_in(&mut self, now: Time, zone: &str) {
        let there = self.cloud.machines();
        let names: Vec<String> = there
            .filter(|machine| machine.zone.as_str() == zone)
            .map(|machine| machine.id.to_string())
            .collect();
        for name in names {
            self.cloud.kill(now, &name);
        }
    }
}
