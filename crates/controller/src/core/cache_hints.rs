//! Hints about agents' image caches and image fetch times, as leaders sent them.
//! They are stored nowhere. A controller that is elected takes its own over; a
//! leader that has none, as its process was restarted, gets them back from its
//! peers, in parts, each peer beginning at another place.

use crate::types::{FencingToken, Image, MachineId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Most machines remembered.
const MAX_MACHINES: usize = 4000;
/// Most images whose fetch time is remembered.
const MAX_IMAGES: usize = 4096;
/// Most machines given back at once.
pub const MAX_MACHINES_PER_PART: usize = 100;

/// Images on a machine, with their sizes in gigabytes.
pub type Images = Vec<(Image, f64)>;

/// The images on one machine, as a leader sent them.
#[derive(Clone, Debug)]
struct MachineHint {
    received: Time,
    /// The token of that leader.
    token: FencingToken,
    images: Images,
}

/// How far giving hints back to a leader has come.
#[derive(Clone, Debug)]
struct HintTransfer {
    /// The leader's token.
    to: FencingToken,
    /// The last machine given.
    after: Option<MachineId>,
    machines_left: usize,
}

/// All hints.
#[derive(Debug)]
pub struct AllHints {
    /// Images on machines.
    pub machines: Vec<(MachineId, Images)>,
    /// What fetching images takes.
    pub fetches: Vec<(Image, TimeSpan)>,
}

/// The hints that a controller remembers.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    machines: BTreeMap<MachineId, MachineHint>,
    fetches: BTreeMap<Image, TimeSpan>,
    transfer: Option<HintTransfer>,
}

impl CacheHints {
    /// Records what the leader of this token sent; fetch times are in milliseconds.
    pub fn record(
        &mut self,
        now: Time,
        token: FencingToken,
        machines: Vec<(MachineId, Images)>,
        fetches: Vec<(Image, u64)>,
    ) {
        for (id, images) in machines {
            let hint = MachineHint {
                received: now,
                token,
                images,
            };
            self.machines.insert(id, hint);
        }
        self.forget_oldest();
        for (image, ms) in fetches {
            if self.fetches.len() < MAX_IMAGES || self.fetches.contains_key(&image) {
                self.fetches.insert(image, TimeSpan::millis(ms));
            }
        }
    }

    fn forget_oldest(&mut self) {
        while self.machines.len() > MAX_MACHINES {
            let oldest = self.machines.iter().min_by_key(|(_, hint)| hint.received);
            let Some((id, _)) = oldest else { return };
            let id = id.clone();
            self.machines.remove(&id);
        }
    }

    /// Takes all hints, for a controller that is elected.
    pub fn take_all(&mut self) -> AllHints {
        let all = std::mem::take(self);
        let machines = all.machines.into_iter();
        AllHints {
            machines: machines.map(|(id, hint)| (id, hint.images)).collect(),
            fetches: all.fetches.into_iter().collect(),
        }
    }

    /// Takes the hints about machines that are known by now.
    pub fn take_known(
        &mut self,
        is_known: impl Fn(&MachineId) -> bool,
    ) -> Vec<(MachineId, Images)> {
        let ids = self.machines.keys();
        let known: Vec<MachineId> = ids.filter(|id| is_known(id)).cloned().collect();
        known
            .into_iter()
            .filter_map(|id| self.machines.remove_entry(&id))
            .map(|(id, hint)| (id, hint.images))
            .collect()
    }

    /// What fetching images takes.
    pub fn fetch_times(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.fetches.iter().map(|(image, took)| (image, *took))
    }

    /// The next part of what earlier leaders sent, for the leader of this token; each
    /// part once. `start`: at which share of it this controller begins, 0 to 1.
    pub fn next_part(&mut self, to: FencingToken, start: f64) -> Vec<(MachineId, Images)> {
        if self.transfer.as_ref().is_none_or(|t| t.to != to) {
            self.transfer = Some(self.start_transfer(to, start));
        }
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.machines_left > 0) else {
            return Vec::new();
        };
        let after = transfer.after.clone();
        let is_beyond = |id: &MachineId| after.as_ref().is_none_or(|a| id > a);
        let beyond = self.machines.iter().filter(|(id, _)| is_beyond(id));
        let wrapped = self.machines.iter().filter(|(id, _)| !is_beyond(id));
        let part: Vec<(MachineId, Images)> = beyond
            .chain(wrapped)
            .filter(|(_, hint)| hint.token < to)
            .take(MAX_MACHINES_PER_PART.min(transfer.machines_left))
            .map(|(id, hint)| (id.clone(), hint.images.clone()))
            .collect();
        transfer.machines_left = match part.len() {
            0 => 0,
            given => transfer.machines_left - given,
        };
        transfer.after = part.last().map(|(id, _)| id.clone());
        part
    }

    fn start_transfer(&self, to: FencingToken, start: f64) -> HintTransfer {
        let hints = self.machines.iter();
        let ids: Vec<&MachineId> = hints
            .filter(|(_, hint)| hint.token < to)
            .map(|(id, _)| id)
            .collect();
        let first = (ids.len() as f64 * start.clamp(0.0, 1.0)) as usize;
        HintTransfer {
            to,
            after: first.checked_sub(1).map(|last| ids[last].clone()),
            machines_left: ids.len(),
        }
    }
}

#[cfg(test)]
mod tests;
