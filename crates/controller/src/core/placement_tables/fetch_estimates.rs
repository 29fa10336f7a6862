//! What fetching an image costs, learned from completed fetches.

use crate::types::{Image, TimeSpan};
use std::collections::BTreeMap;

/// Fetch times of images.
#[derive(Clone, Debug)]
pub struct FetchEstimates {
    /// The latest fetch time of each image.
    latest: BTreeMap<Image, TimeSpan>,
    /// What an image costs while nothing is known.
    default: TimeSpan,
}

/// Most images whose fetch time is remembered, to bound memory.
const MAX_ESTIMATES: usize = 4096;

impl FetchEstimates {
    /// Nothing known; `default` is what an image costs until then.
    pub fn new(default: TimeSpan) -> FetchEstimates {
        FetchEstimates {
            latest: BTreeMap::new(),
            default,
        }
    }

    /// Records the latest fetch time of an image.
    pub fn record(&mut self, image: &Image, took: TimeSpan) {
        if self.latest.len() >= MAX_ESTIMATES && !self.latest.contains_key(image) {
            self.latest.pop_first();
        }
        self.latest.insert(image.clone(), took);
    }

    /// Takes over the fetch time that an earlier leader saw, unless this one saw the
    /// image fetched already.
    pub fn restore(&mut self, image: &Image, took: TimeSpan) {
        if !self.latest.contains_key(image) {
            self.record(image, took);
        }
    }

    /// All images with a known fetch time.
    pub fn all(&self) -> impl Iterator<Item = (&Image, TimeSpan)> {
        self.latest.iter().map(|(image, took)| (image, *took))
    }

    /// What fetching an image should take: its latest time; for one not seen yet, its
    /// size over the machine type's `rate` in gigabytes per second, if known; otherwise
    /// the largest time known of any image, as in the paper.
    pub fn estimate(&self, image: &Image, size_gb: f64, rate: Option<f64>) -> TimeSpan {
        if let Some(took) = self.latest.get(image) {
            return *took;
        }
        match rate {
            Some(rate) if rate > 0.0 => TimeSpan::secs(size_gb / rate),
            _ => self.latest.values().max().copied().unwrap_or(self.default),
        }
    }
}

#[cfg(test)]
mod tests;
