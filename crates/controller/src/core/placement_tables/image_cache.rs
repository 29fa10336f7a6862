//! The images on one machine, as far as they can be inferred: agents do not report
//! their caches.

use crate::types::{Image, Time, TimeSpan};
use std::cmp::Reverse;

/// The images on a machine, inferred from starts and completed fetches. The least
/// recently used are dropped where the machine's room runs out, as agents do.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    entries: Vec<CachedImage>,
}

#[derive(Clone, Debug)]
struct CachedImage {
    image: Image,
    size_gb: f64,
    last_used: Time,
    /// When a fetch in progress should end; `None`: the image is there.
    fetched_at: Option<Time>,
}

/// What is left at least of a fetch that takes longer than expected: it never counts
/// as complete before it is, or work would be sent there as if the image were there.
const MIN_REMAINING_FETCH: TimeSpan = TimeSpan::millis(1000);

impl ImageCache {
    fn find(&self, image: &Image) -> Option<&CachedImage> {
        self.entries.iter().find(|entry| &entry.image == image)
    }

    /// Remaining fetch time: zero for an image that is there, `None` for one that is
    /// neither there nor being fetched.
    pub fn remaining(&self, image: &Image, now: Time) -> Option<TimeSpan> {
        let remaining = match self.find(image)?.fetched_at {
            Some(at) => at.since(now).max(MIN_REMAINING_FETCH),
            None => TimeSpan::ZERO,
        };
        Some(remaining)
    }

    /// Records that a task needing `image` was placed; a fetch, if there must be one,
    /// should take `fetch`.
    pub fn record_use(&mut self, image: &Image, size_gb: f64, now: Time, fetch: TimeSpan) {
        let known = self.entries.iter_mut().find(|entry| &entry.image == image);
        match known {
            Some(entry) => entry.last_used = now,
            None => self.entries.push(CachedImage {
                image: image.clone(),
                size_gb,
                last_used: now,
                fetched_at: Some(now + fetch),
            }),
        }
    }

    /// Records that the image is there; the least recently used ones make room for it
    /// within the `room_gb` gigabytes of the machine's cache.
    pub fn record_fetched(&mut self, image: &Image, size_gb: f64, now: Time, room_gb: f64) {
        self.entries.retain(|entry| &entry.image != image);
        self.entries.push(CachedImage {
            image: image.clone(),
            size_gb,
            last_used: now,
            fetched_at: None,
        });
        self.entries.sort_by_key(|entry| Reverse(entry.last_used));
        let mut total_gb = 0.0;
        self.entries.retain(|entry| {
            total_gb += entry.size_gb;
            total_gb <= room_gb || &entry.image == image
        });
    }

    /// Drops fetches in progress of images that `is_wanted` says no task waits for any
    /// more: agents abandon them.
    pub fn drop_abandoned_fetches(&mut self, is_wanted: impl Fn(&Image) -> bool) {
        self.entries
            .retain(|entry| entry.fetched_at.is_none() || is_wanted(&entry.image));
    }

    /// Forgets all images.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// The images that are there or being fetched.
    pub fn known(&self) -> impl Iterator<Item = &Image> {
        self.entries.iter().map(|entry| &entry.image)
    }

    /// The images that are there, with their sizes in gigabytes.
    pub fn images(&self) -> impl Iterator<Item = (&Image, f64)> {
        self.entries
            .iter()
            .filter(|entry| entry.fetched_at.is_none())
            .map(|entry| (&entry.image, entry.size_gb))
    }
}

#[cfg(test)]
mod tests;
