use super::*;
use crate::core::assignment::Assignment;
use crate::core::format_version::KNOWN_VERSIONS;
use crate::core::job_records::{Job, json_len};
use crate::testing;
use crate::types::{AgentEpoch, Attempt, Version, WallTime};
use crate::wire::users::JobShape;
use std::rc::Rc;

#[test]
fn full_chunk_fits_into_one_value() {
    for bytes in [1024, 2048, 8192] {
        let size = ChunkSize::for_value(bytes);
        let spec = testing::submission("wk-1", JobShape::Array, 100_000);
        let mut job = Job::new(Rc::new(spec), WallTime(0), Version(1), 1);
        let first_task = 100_000 - size.0;
        for i in (first_task..100_000).step_by(2) {
            job.done.insert(i);
        }
        for i in first_task..100_000 {
            let assignment = Assignment::inherited(
                "machine-with-a-rather-long-name-000231".into(),
                AgentEpoch(1 << 40),
                Attempt(1 << 40),
            );
            job.assignments.insert(i, assignment);
        }
        let chunk = size.of(first_task);
        for step in KNOWN_VERSIONS {
            let len = json_len(&job.chunk_value(size, chunk, step.version));
            assert!(len <= bytes, "{len} of {bytes} at level {}", step.version);
        }
    }
}
