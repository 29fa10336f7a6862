//! The calls whose replies a leader waits for.

use crate::core::autoscaler::state::CloudCall;
use crate::types::{NodeId, Time};
use crate::wire::kvstore::Operation;

/// What a reply is for. Pending calls end with the term of their leader: replies to the
/// calls of an earlier leader are ignored.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Reads a page of records, or the changes since the last read.
    Read {
        /// When the read was sent.
        sent: Time,
    },
    /// Commits the transaction in flight.
    Commit,
    /// Reads a record that the transaction in flight writes, to find out whether the
    /// transaction was committed. Holds the operation that writes the record.
    OwnWrite(Operation),
    /// A call to the cloud, with the peer that makes it; `None`: the leader itself makes
    /// it.
    Cloud(CloudCall, Option<NodeId>),
}
