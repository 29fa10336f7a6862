//! The paper's three tables as one scheduling cycle sees them: which machines hold an
//! image (*Cache*), when each machine is predicted to be free (*Available*), and what
//! fetching an image costs (*Estimate*). Tables only: decisions are the cycle's.

mod fetch_estimates;
mod image_cache;
mod machine_row;

pub use fetch_estimates::FetchEstimates;
pub use image_cache::ImageCache;
pub use machine_row::MachineRow;
