//! The calls that a leader waits for.

use crate::core::autoscaler::state::CloudCall;
use crate::types::{NodeId, Time};
use crate::wire::kvstore::Operation;

/// What a reply is for. It goes with its leader: replies to an earlier one are void.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Records or changes.
    Read {
        /// When they were asked for.
        sent: Time,
    },
    /// The transaction in flight.
    Commit,
    /// A record that the transaction in flight writes, to learn whether it was carried out.
    Written(Operation),
    /// A call to the cloud, and the peer that makes it.
    Cloud(CloudCall, Option<NodeId>),
}
