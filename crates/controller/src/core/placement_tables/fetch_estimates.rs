//! What fetching costs.

use crate::types::{Image, TimeSpan};
use std::collections::BTreeMap;

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

#[cfg(test)]
mod tests;
