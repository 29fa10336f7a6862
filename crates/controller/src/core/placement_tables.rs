//! The paper's three tables as one cycle sees them: which machines hold an
//! image, when each machine is predicted to be free, and what fetching an
//! image costs.

mod fetch_estimates;
mod image_cache;
mod machine_row;

pub use fetch_estimates::FetchEstimates;
pub use image_cache::ImageCache;
pub use machine_row::MachineRow;
