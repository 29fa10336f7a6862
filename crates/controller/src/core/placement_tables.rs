//! The three tables of the paper that `scheduling_cycle` follows: which machines hold an
//! image (*Cache*), when each machine is predicted to be free (*Available*), and how
//! long fetching an image takes (*Estimate*). The tables hold data only; decisions are
//! made in `scheduling_cycle`.

mod fetch_estimates;
mod image_cache;
mod machine_row;

pub use fetch_estimates::FetchEstimates;
pub use image_cache::ImageCache;
pub use machine_row::MachineRow;
