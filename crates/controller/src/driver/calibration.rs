//! The calibration workload: a fixed computation. Its duration shows how fast the
//! processor currently is for this process.

use crate::types::TimeSpan;
use std::time::{Duration, Instant};

/// Steps of one run, which takes some tens of microseconds.
const STEPS_PER_RUN: u64 = 8_000;
/// Runs of one measurement; the shortest one counts.
const RUNS_PER_MEASUREMENT: u32 = 3;
/// Time between two measurements.
pub(super) const INTERVAL: Duration = Duration::from_secs(1);

/// How long the workload takes: the shortest of several runs, as other processes may
/// interrupt a run.
pub(super) fn measure() -> TimeSpan {
    let shortest = (0..RUNS_PER_MEASUREMENT)
        .map(|_| run_nanos())
        .min()
        .unwrap_or(0);
    TimeSpan(shortest.div_ceil(1000))
}

fn run_nanos() -> u64 {
    let start = Instant::now();
    let mut x = std::hint::black_box(1u64);
    for step in 0..STEPS_PER_RUN {
        x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(step) ^ (x >> 29);
    }
    std::hint::black_box(x);
    start.elapsed().as_nanos() as u64
}
