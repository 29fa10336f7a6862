//! Images on a machine.

use crate::types::{Image, Time, TimeSpan};

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

#[cfg(test)]
mod tests;
