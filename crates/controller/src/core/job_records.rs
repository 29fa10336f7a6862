//! Durable records of jobs and of leadership in the key-value store: their contents, and
//! how they are written and read back. Requests are sent by other modules.
//!
//! The keys of the records are defined in [`super::keys`].

mod chunk_size;
mod dirty_chunks;
mod header;
mod index_ranges;
mod job;
mod job_writes;
mod leader_record;
mod submission;
mod transaction;
mod value;

pub use super::keys::*;
pub use chunk_size::ChunkSize;
pub use dirty_chunks::DirtyChunks;
pub use header::{HeaderStage, JobHeader, JobOutcome, job_header_value};
pub use index_ranges::IndexRanges;
pub use job::{Chunk, Job, SchedulingState};
pub use leader_record::{LeaderRecord, leader_record_value};
pub use submission::{SubmissionAssembler, accept_transaction, cancel_transaction};
pub use transaction::{
    AddError, BuiltTransaction, CommitItem, CommitPipeline, ConditionalWrite, TransactionBuilder,
    TransactionLimits,
};
pub use value::{json_len, read_record};
