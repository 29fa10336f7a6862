//! Estimated fetch times of images, based on completed fetches.

use crate::types::{Image, TimeSpan};
use std::collections::BTreeMap;

/// The latest fetch time of each image, with fallbacks for images never fetched.
#[derive(Clone, Debug)]
pub struct FetchEstimates {
    /// The latest fetch time of each image.
    latest: BTreeMap<Image, TimeSpan>,
    /// Estimate used while no fetch time of any image is recorded.
    initial_estimate: TimeSpan,
}

/// Maximum number of images whose fetch time is kept, to bound memory.
const MAX_ESTIMATES: usize = 4096;

impl FetchEstimates {
    /// Creates an empty table. `initial_estimate` applies while no fetch time of any
    /// image is recorded and the fetch rate of the machine is unknown.
    pub fn new(initial_estimate: TimeSpan) -> FetchEstimates {
        FetchEstimates {
            latest: BTreeMap::new(),
            initial_estimate,
        }
    }

    /// Records the latest fetch time of an image. In a full table a new image replaces
    /// the first one by name.
    pub fn record(&mut self, image: &Image, fetch_time: TimeSpan) {
        if self.latest.len() >= MAX_ESTIMATES && !self.latest.contains_key(image) {
            self.latest.pop_first();
        }
        self.latest.insert(image.clone(), fetch_time);
    }

    /// Adopts a fetch time that an earlier leader observed, unless this leader has
    /// recorded one for the image.
    pub fn adopt_if_absent(&mut self, image: &Image, fetch_time: TimeSpan) {
        if !self.latest.contains_key(image) {
            self.record(image, fetch_time);
        }
    }

    /// All images with a recorded fetch time.
    pub fn recorded(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.latest
            .iter()
            .map(|(image, fetch_time)| (image, *fetch_time))
    }

    /// Estimated fetch time of an image: its latest recorded time. For an image without
    /// one, its size divided by `rate`, the machine type's fetch rate in gigabytes per
    /// second. Without a rate, the longest time recorded for any image, as in the paper.
    pub fn estimate(&self, image: &Image, size_gb: f64, rate: Option<f64>) -> TimeSpan {
        if let Some(fetch_time) = self.latest.get(image) {
            return *fetch_time;
        }
        match rate {
            Some(rate) if rate > 0.0 => TimeSpan::secs(size_gb / rate),
            _ => self
                .latest
                .values()
                .max()
                .copied()
                .unwrap_or(self.initial_estimate),
        }
    }
}

#[cfg(test)]
mod tests;
