//! Faults of machines: which are hit, and what becomes of them.

use super::{Heal, Stand};
use crate::worker::Worker;
use pebblefold_controller::types::{Time, TimeSpan};
use rand::RngExt;

/// Whether a machine is in a zone, if one is named.
pub(super) fn is_in(zone: Option<&str>) -> impl Fn(&Worker) -> bool {
    move |worker| zone.is_none_or(|zone| worker.machine.zone.as_str() == zone)
}

impl Stand {
    /// Some of the machines, chosen by chance.
    pub(super) fn pick_machines(
        &mut self,
        count: usize,
        fits: impl Fn(&Worker) -> bool,
    ) -> Vec<String> {
        let workers = self.fleet.workers().iter();
        let fitting = workers.filter(|(_, worker)| fits(worker));
        let mut names: Vec<String> = fitting.map(|(name, _)| name.clone()).collect();
        let mut picked = Vec::new();
        while picked.len() < count && !names.is_empty() {
            let i = self.rng.random_range(0..names.len());
            picked.push(names.swap_remove(i));
        }
        picked
    }

    /// So many machines with tasks, in a zone if one is named; 0: all that are there.
    pub(super) fn pick_in(&mut self, count: u32, zone: Option<&str>) -> Vec<String> {
        let there = is_in(zone);
        match count {
            0 => self.pick_machines(usize::MAX, there),
            n => self.pick_machines(n as usize, |w| there(w) && !w.tasks.is_empty()),
        }
    }

    /// Changes the workers of these machines, where they are still there.
    pub(super) fn change_workers(&mut self, names: Vec<String>, change: impl Fn(&mut Worker)) {
        for name in names {
            if let Some(worker) = self.fleet.worker(&name) {
                change(worker);
            }
        }
    }

    /// Machines are gone without notice: some by chance, and this one.
    pub(super) fn vanish(
        &mut self,
        now: Time,
        count: usize,
        zone: Option<&str>,
        that: Option<String>,
    ) {
        let mut names = self.pick_machines(count, is_in(zone));
        names.extend(that);
        for name in names {
            self.cloud.kill(now, &name);
        }
        self.happen(now);
    }

    /// Machines run slower for a while.
    pub(super) fn slow_machines(&mut self, now: Time, count: usize, factor: f64, for_s: f64) {
        let names = self.pick_machines(count, |_| true);
        let mut before = Vec::new();
        for name in names {
            if let Some(worker) = self.fleet.worker(&name) {
                before.push((name.clone(), worker.speed));
                worker.speed /= factor.max(1.0);
            }
        }
        self.heal_at(now + TimeSpan::secs(for_s), Heal::Fast(before));
    }

    /// The cloud takes a share of the spot machines back.
    pub(super) fn take_spot_machines(&mut self, now: Time, share: f64, notice_s: f64) {
        let workers = self.fleet.workers().values();
        let spot_machines = workers.filter(|worker| worker.machine.spot).count();
        let count = (spot_machines as f64 * share).ceil() as usize;
        for name in self.pick_machines(count, |w| w.machine.spot && w.taken.is_none()) {
            let notice = notice_s * self.rng.random_range(0.5..1.5);
            if let Some(worker) = self.fleet.worker(&name) {
                worker.taken = Some(now + TimeSpan::secs(notice));
                worker.touch();
            }
        }
    }
}
