//! The paper's three tables as one cycle sees them: which machines hold an
//! image, when each machine is predicted to be free, and what fetching an
//! image costs.

use crate::types::{Image, MachineId, MachineTypeName, Resources, Time, TimeSpan, Zone};
use std::collections::BTreeMap;

/// Images on a machine, as far as can be told. Workers do not report their
/// caches, so this follows starts and finished fetches, and drops the least
/// recently used where the machine's room runs out, as workers do.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    entries: Vec<CachedImage>,
}

#[derive(Clone, Debug)]
struct CachedImage {
    image: Image,
    gb: f64,
    used: Time,
    /// When a fetch under way should end; `None`: it is there.
    coming: Option<Time>,
}

impl ImageCache {
    /// Remaining fetch time: zero for an image that is there, `None` for one
    /// that is not. A fetch that takes longer than expected is never counted
    /// as over until it is.
    pub fn remaining(&self, image: &Image, now: Time) -> Option<TimeSpan> {
        let e = self.entries.iter().find(|e| &e.image == image)?;
        Some(
            e.coming
                .map_or(TimeSpan::ZERO, |t| t.since(now).max(TimeSpan::secs(1.0))),
        )
    }

    /// Notes that a task needing `image` was placed; a fetch, if there must be
    /// one, should take `fetch`.
    pub fn used(&mut self, image: &Image, gb: f64, now: Time, fetch: TimeSpan) {
        match self.entries.iter_mut().find(|e| &e.image == image) {
            Some(e) => e.used = now,
            None => self.entries.push(CachedImage {
                image: image.clone(),
                gb,
                used: now,
                coming: Some(now + fetch),
            }),
        }
    }

    /// Notes that the image is there; older ones make room for it.
    pub fn fetched(&mut self, image: &Image, gb: f64, now: Time, room_gb: f64) {
        self.entries.retain(|e| &e.image != image);
        self.entries.push(CachedImage {
            image: image.clone(),
            gb,
            used: now,
            coming: None,
        });
        self.entries.sort_by_key(|e| std::cmp::Reverse(e.used));
        let mut sum = 0.0;
        self.entries.retain(|e| {
            sum += e.gb;
            sum <= room_gb || &e.image == image
        });
    }

    /// Drops fetches under way for which `wanted` says that no task waits any
    /// more: workers give them up.
    pub fn give_up(&mut self, wanted: impl Fn(&Image) -> bool) {
        self.entries
            .retain(|e| e.coming.is_none() || wanted(&e.image));
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// The images that are there or being fetched.
    pub fn known(&self) -> impl Iterator<Item = &Image> {
        self.entries.iter().map(|e| &e.image)
    }

    /// The images that are there, with their sizes.
    pub fn images(&self) -> impl Iterator<Item = (&Image, f64)> {
        self.entries
            .iter()
            .filter(|e| e.coming.is_none())
            .map(|e| (&e.image, e.gb))
    }
}

/// What fetching costs, learned from finished fetches.
#[derive(Clone, Debug)]
pub struct FetchEstimates {
    latest: BTreeMap<Image, TimeSpan>,
    first: TimeSpan,
}

/// Most images whose fetch time is remembered.
const MOST_ESTIMATES: usize = 4096;

impl FetchEstimates {
    /// Nothing known; `first` is what an image costs until then.
    pub fn new(first: TimeSpan) -> FetchEstimates {
        FetchEstimates {
            latest: BTreeMap::new(),
            first,
        }
    }

    /// Notes the latest fetch time of an image.
    pub fn note(&mut self, image: &Image, took: TimeSpan) {
        if self.latest.len() >= MOST_ESTIMATES && !self.latest.contains_key(image) {
            self.latest.pop_first();
        }
        self.latest.insert(image.clone(), took);
    }

    /// Takes over what an earlier leader saw, where this one saw nothing yet.
    pub fn learn(&mut self, image: &Image, took: TimeSpan) {
        if !self.latest.contains_key(image) {
            self.note(image, took);
        }
    }

    /// All that is known.
    pub fn all(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.latest.iter().map(|(i, t)| (i, *t))
    }

    /// What fetching an image should take: its latest time; for one not seen
    /// yet, its size over the type's rate, if known; else the largest known.
    pub fn of(&self, image: &Image, gb: f64, rate: Option<f64>) -> TimeSpan {
        if let Some(t) = self.latest.get(image) {
            return *t;
        }
        match rate {
            Some(r) if r > 0.0 => TimeSpan::secs(gb / r),
            _ => self.latest.values().max().copied().unwrap_or(self.first),
        }
    }
}

/// A machine as a cycle sees it.
#[derive(Clone, Debug)]
pub struct MachineRow {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    pub kind: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What it has.
    pub whole: Resources,
    /// What is free for new tasks.
    pub free: Resources,
    /// When it is predicted to be free altogether.
    pub available: Time,
    /// When high-priority work was last placed here.
    pub last_high: Option<Time>,
    /// Its images.
    pub cache: ImageCache,
    /// Fetch rate of its type.
    pub fetch_rate: f64,
    /// Whether it is put aside: only work that has waited for long may go there.
    pub aside: bool,
}

#[cfg(test)]
mod tests;
