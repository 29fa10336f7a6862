//! The image cache of one machine as the leader infers it, since agents do not report
//! their caches.

use crate::types::{Image, Time, TimeSpan};
use std::cmp::Reverse;

/// The images on a machine, inferred from starts and completed fetches. When the cache
/// is full, the least recently used images are evicted, as agents do.
#[derive(Clone, Debug, Default)]
pub struct ImageCache {
    entries: Vec<CachedImage>,
}

#[derive(Clone, Debug)]
struct CachedImage {
    image: Image,
    size_gb: f64,
    last_used: Time,
    /// Expected end of the fetch in progress; `None` once the image is in the cache.
    fetch_ends_at: Option<Time>,
}

/// Minimum remaining time of a fetch that takes longer than expected. An unfinished
/// fetch never counts as complete, or work would be placed on the machine as if the
/// image were in its cache.
const MIN_REMAINING_FETCH: TimeSpan = TimeSpan::millis(1000);

impl ImageCache {
    fn find(&self, image: &Image) -> Option<&CachedImage> {
        self.entries.iter().find(|entry| &entry.image == image)
    }

    /// Remaining fetch time: zero for an image in the cache, `None` for an image that is
    /// neither in the cache nor being fetched.
    pub fn remaining_fetch_time(&self, image: &Image, now: Time) -> Option<TimeSpan> {
        let remaining = match self.find(image)?.fetch_ends_at {
            Some(ends_at) => ends_at.since(now).max(MIN_REMAINING_FETCH),
            None => TimeSpan::ZERO,
        };
        Some(remaining)
    }

    /// Records that a task needing `image` was placed. If the image is neither in the
    /// cache nor being fetched, a fetch of estimated length `fetch_time` begins.
    pub fn record_use(&mut self, image: &Image, size_gb: f64, now: Time, fetch_time: TimeSpan) {
        let existing = self.entries.iter_mut().find(|entry| &entry.image == image);
        match existing {
            Some(entry) => entry.last_used = now,
            None => self.entries.push(CachedImage {
                image: image.clone(),
                size_gb,
                last_used: now,
                fetch_ends_at: Some(now + fetch_time),
            }),
        }
    }

    /// Records that the image is in the cache. The least recently used other images are
    /// evicted until the rest fits into `cache_gb`, the size of the machine's cache in
    /// gigabytes.
    pub fn record_fetched(&mut self, image: &Image, size_gb: f64, now: Time, cache_gb: f64) {
        self.entries.retain(|entry| &entry.image != image);
        self.entries.push(CachedImage {
            image: image.clone(),
            size_gb,
            last_used: now,
            fetch_ends_at: None,
        });
        self.entries.sort_by_key(|entry| Reverse(entry.last_used));
        let mut total_gb = 0.0;
        self.entries.retain(|entry| {
            total_gb += entry.size_gb;
            total_gb <= cache_gb || &entry.image == image
        });
    }

    /// Removes the fetches in progress of images that no task needs any more, which
    /// agents abandon. `is_needed` reports whether a task needs an image.
    pub fn drop_abandoned_fetches(&mut self, is_needed: impl Fn(&Image) -> bool) {
        self.entries
            .retain(|entry| entry.fetch_ends_at.is_none() || is_needed(&entry.image));
    }

    /// Removes all images, including those being fetched.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// The images that are in the cache or being fetched.
    pub fn cached_or_fetching(&self) -> impl Iterator<Item = &Image> {
        self.entries.iter().map(|entry| &entry.image)
    }

    /// The images in the cache, with their sizes in gigabytes. Images being fetched are
    /// left out.
    pub fn images(&self) -> impl Iterator<Item = (&Image, f64)> {
        self.entries
            .iter()
            .filter(|entry| entry.fetch_ends_at.is_none())
            .map(|entry| (&entry.image, entry.size_gb))
    }
}

#[cfg(test)]
mod tests;
