//! What a node remembers of what leaders told: the images on machines and what fetching
//! them takes. No record has it. A node that is elected takes it over; a leader that
//! does not have it, as its process was started again, is given it back by its peers,
//! in parts, each of them beginning at another place.

use crate::types::{FencingToken, Image, MachineId, Time, TimeSpan};
use std::collections::BTreeMap;

/// Machines remembered.
const MOST_MACHINES: usize = 4000;
/// Images whose fetch time is remembered.
const MOST_IMAGES: usize = 4096;
/// Machines given back at once.
pub const MOST_GIVEN: usize = 100;

/// Images on a machine, with their sizes in gigabytes.
pub type Images = Vec<(Image, f64)>;

#[derive(Clone, Debug)]
struct Kept {
    told: Time,
    by: FencingToken,
    images: Images,
}

/// How far giving back has come.
#[derive(Clone, Debug)]
struct HintTransfer {
    to: FencingToken,
    after: Option<MachineId>,
    left: usize,
}

/// All that was remembered.
#[derive(Debug)]
pub struct Taken {
    /// Images on machines.
    pub machines: Vec<(MachineId, Images)>,
    /// What fetching images takes.
    pub fetches: Vec<(Image, TimeSpan)>,
}

/// What is remembered.
#[derive(Clone, Debug, Default)]
pub struct CacheHints {
    machines: BTreeMap<MachineId, Kept>,
    fetches: BTreeMap<Image, TimeSpan>,
    giving: Option<HintTransfer>,
}

impl CacheHints {
    /// A leader told this.
    pub fn note(
        &mut self,
        now: Time,
        by: FencingToken,
        machines: Vec<(MachineId, Images)>,
        fetches: Vec<(Image, u64)>,
    ) {
        for (id, images) in machines {
            let told = now;
            self.machines.insert(id, Kept { told, by, images });
        }
        while self.machines.len() > MOST_MACHINES
            && let Some((old, _)) = self.machines.iter().min_by_key(|(_, k)| k.told)
        {
            let old = old.clone();
            self.machines.remove(&old);
        }
        for (image, ms) in fetches {
            if self.fetches.len() < MOST_IMAGES || self.fetches.contains_key(&image) {
                self.fetches.insert(image, TimeSpan::millis(ms));
            }
        }
    }

    /// All of it, for a node that is elected.
    pub fn take(&mut self) -> Taken {
        let all = std::mem::take(self);
        let machines = all.machines.into_iter().map(|(id, k)| (id, k.images));
        Taken {
            machines: machines.collect(),
            fetches: all.fetches.into_iter().collect(),
        }
    }

    /// Takes out what is remembered of machines that are known by now.
    pub fn take_known(&mut self, known: impl Fn(&MachineId) -> bool) -> Vec<(MachineId, Images)> {
        let ids: Vec<MachineId> = self
            .machines
            .keys()
            .filter(|id| known(id))
            .cloned()
            .collect();
        let taken = ids.into_iter();
        taken
            .filter_map(|id| self.machines.remove_entry(&id))
            .map(|(id, k)| (id, k.images))
            .collect()
    }

    /// What fetching images takes.
    pub fn fetches(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.fetches.iter().map(|(i, s)| (i, *s))
    }

    /// The next part of what earlier leaders told, for the leader of this token; each
    /// part once. `from`: at which share of it this node begins, 0 to 1.
    pub fn give(&mut self, to: FencingToken, from: f64) -> Vec<(MachineId, Images)> {
        let earlier = |k: &Kept| k.by < to;
        if self.giving.as_ref().is_none_or(|g| g.to != to) {
            let ids: Vec<&MachineId> = self
                .machines
                .iter()
                .filter(|(_, k)| earlier(k))
                .map(|(id, _)| id)
                .collect();
            let begin = (ids.len() as f64 * from.clamp(0.0, 1.0)) as usize;
            self.giving = Some(HintTransfer {
                to,
                after: begin.checked_sub(1).map(|n| ids[n].clone()),
                left: ids.len(),
            });
        }
        let Some(giving) = self.giving.as_mut().filter(|g| g.left > 0) else {
            return Vec::new();
        };
        let after = giving.after.clone();
        let beyond = |id: &&MachineId| after.as_ref().is_none_or(|a| *id > a);
        let behind = self.machines.iter().filter(|(id, _)| beyond(id));
        let before = self.machines.iter().filter(|(id, _)| !beyond(id));
        let part: Vec<(MachineId, Images)> = behind
            .chain(before)
            .filter(|(_, k)| earlier(k))
            .take(MOST_GIVEN.min(giving.left))
            .map(|(id, k)| (id.clone(), k.images.clone()))
            .collect();
        giving.left = match part.len() {
            0 => 0,
            n => giving.left - n,
        };
        giving.after = part.last().map(|(id, _)| id.clone());
        part
    }
}

#[cfg(test)]
mod tests;
