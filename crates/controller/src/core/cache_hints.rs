//! Hints about agents' image caches and image fetch times, as leaders sent them in
//! heartbeats. The hints are held in memory only. A controller that is elected starts
//! with the hints that it holds. A leader that has none, because its process restarted,
//! gets them back from its peers in parts; each peer starts at another position.

use crate::types::{FencingToken, Image, MachineId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Most machines whose images are kept.
const MAX_HINTED_MACHINES: usize = 4000;
/// Most images whose fetch time is kept.
const MAX_HINTED_IMAGES: usize = 4096;
/// Most machines in one part that a leader gets back.
pub const MAX_MACHINES_PER_PART: usize = 100;

/// Images in a machine's cache, with their sizes in gigabytes.
pub type CachedImages = Vec<(Image, f64)>;

/// The images in one machine's cache, as a leader sent them.
#[derive(Clone, Debug)]
struct MachineHint {
    received: Time,
    /// The fencing token of the leader that sent the hint.
    token: FencingToken,
    images: CachedImages,
}

/// Progress of returning hints to a leader.
#[derive(Clone, Debug)]
struct HintTransfer {
    /// The fencing token of the leader that receives the hints.
    leader_token: FencingToken,
    /// The machine after which the next part starts, in the order of ids and wrapping
    /// around at the last. `None`: the next part starts at the first machine.
    after: Option<MachineId>,
    machines_left: usize,
}

/// All hints that a controller held when it was elected.
#[derive(Debug)]
pub struct AllHints {
    /// Images in the machines' caches.
    pub machines: Vec<(MachineId, CachedImages)>,
    /// Duration of fetching each image.
    pub fetches: Vec<(Image, TimeSpan)>,
}

/// The hints that a controller holds.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    machines: BTreeMap<MachineId, MachineHint>,
    fetches: BTreeMap<Image, TimeSpan>,
    transfer: Option<HintTransfer>,
}

impl CacheHints {
    /// Records hints from the leader of this token; fetch times are in milliseconds. The
    /// oldest machines are evicted at the limit, whereas new images are ignored at
    /// theirs.
    pub fn record(
        &mut self,
        now: Time,
        token: FencingToken,
        machines: Vec<(MachineId, CachedImages)>,
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
        self.evict_oldest();
        for (image, ms) in fetches {
            if self.fetches.len() < MAX_HINTED_IMAGES || self.fetches.contains_key(&image) {
                self.fetches.insert(image, TimeSpan::millis(ms));
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.machines.len() > MAX_HINTED_MACHINES {
            let oldest = self.machines.iter().min_by_key(|(_, hint)| hint.received);
            let Some((id, _)) = oldest else { return };
            let id = id.clone();
            self.machines.remove(&id);
        }
    }

    /// Removes and returns all hints, for a controller that was elected.
    pub fn take_all(&mut self) -> AllHints {
        let taken = std::mem::take(self);
        let machines = taken.machines.into_iter();
        AllHints {
            machines: machines.map(|(id, hint)| (id, hint.images)).collect(),
            fetches: taken.fetches.into_iter().collect(),
        }
    }

    /// Removes and returns the hints about machines for which `is_known` is true.
    pub fn take_known(
        &mut self,
        is_known: impl Fn(&MachineId) -> bool,
    ) -> Vec<(MachineId, CachedImages)> {
        let ids = self.machines.keys();
        let known: Vec<MachineId> = ids.filter(|id| is_known(id)).cloned().collect();
        known
            .into_iter()
            .filter_map(|id| self.machines.remove_entry(&id))
            .map(|(id, hint)| (id, hint.images))
            .collect()
    }

    /// Duration of fetching each image.
    pub fn fetch_times(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.fetches.iter().map(|(image, took)| (image, *took))
    }

    /// The next part of the hints from earlier leaders, for the leader of this token.
    /// Each hint is returned once; the part is empty when all were. `start`: the position
    /// of the first part, as a share of all machines from 0 to 1.
    pub fn next_transfer_part(
        &mut self,
        leader_token: FencingToken,
        start: f64,
    ) -> Vec<(MachineId, CachedImages)> {
        if self
            .transfer
            .as_ref()
            .is_none_or(|t| t.leader_token != leader_token)
        {
            self.transfer = Some(self.start_transfer(leader_token, start));
        }
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.machines_left > 0) else {
            return Vec::new();
        };
        let after = transfer.after.clone();
        let is_beyond = |id: &MachineId| after.as_ref().is_none_or(|a| id > a);
        let beyond = self.machines.iter().filter(|(id, _)| is_beyond(id));
        let wrapped = self.machines.iter().filter(|(id, _)| !is_beyond(id));
        let part: Vec<(MachineId, CachedImages)> = beyond
            .chain(wrapped)
            .filter(|(_, hint)| hint.token < leader_token)
            .take(MAX_MACHINES_PER_PART.min(transfer.machines_left))
            .map(|(id, hint)| (id.clone(), hint.images.clone()))
            .collect();
        transfer.machines_left = match part.len() {
            0 => 0,
            sent => transfer.machines_left - sent,
        };
        transfer.after = part.last().map(|(id, _)| id.clone());
        part
    }

    fn start_transfer(&self, leader_token: FencingToken, start: f64) -> HintTransfer {
        let hints = self.machines.iter();
        let ids: Vec<&MachineId> = hints
            .filter(|(_, hint)| hint.token < leader_token)
            .map(|(id, _)| id)
            .collect();
        let first = (ids.len() as f64 * start.clamp(0.0, 1.0)) as usize;
        HintTransfer {
            leader_token,
            after: first.checked_sub(1).map(|last| ids[last].clone()),
            machines_left: ids.len(),
        }
    }
}

#[cfg(test)]
mod tests;
