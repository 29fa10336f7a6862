//! The calibration workload: a fixed piece of work whose duration shows how fast
//! the processor is for this process.

use crate::types::TimeSpan;
use std::time::{Duration, Instant};

/// Steps of one run: some tens of microseconds.
const STEPS: u64 = 8_000;
/// Runs of one measurement.
const RUNS: u32 = 3;
/// Time between measurements.
pub(super) const PERIOD: Duration = Duration::from_secs(1);

/// How long the workload takes: the shortest of a few runs, as other work may come
/// between.
pub(super) fn measure() -> TimeSpan {
    let shortest = (0..RUNS).map(|_| run_nanos()).min().unwrap_or(0);
    TimeSpan(shortest.div_ceil(1000))
}

fn run_nanos() -> u64 {
    let start = Instant::now();
    let mut x = std::hint::black_box(1u64);
    for step in 0..STEPS {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(step) ^ (x >> 29);
    }
    std::hint::black_box(x);
    start.elapsed().as_nanos() as u64
}
