//! Activation of the first fenced format version by a leader. The activation moves the
//! leader's key, so the leader claims the new key in the same transaction.

use super::{Election, ElectionState};
use crate::core::effects::Effects;
use crate::core::format_version::member_versions::Activation;
use crate::types::{FencingToken, Version};

impl Election {
    /// Starts a second claim of the leader's key, in the transaction that activates the
    /// format version. Does nothing unless this controller leads and no call of the
    /// election is in flight. `token` is the fencing token of this leader.
    pub fn activate_as_leader(
        &mut self,
        effects: &mut Effects,
        token: FencingToken,
        activation: Activation,
    ) {
        if self.state != ElectionState::Leading || self.has_call_in_flight {
            return;
        }
        self.activation = Some(activation);
        self.claims_as_leader = true;
        self.state = ElectionState::Vacant(Version(token.0));
        self.tick(effects);
        if self.has_call_in_flight {
            self.state = ElectionState::Activating;
        } else {
            self.resume_leading();
        }
    }

    /// Returns to the state of a leader, also after an activation that failed or whose
    /// outcome is unknown: if the activation was applied after all, this leader's next
    /// commit fails, and the election starts over.
    pub(super) fn resume_leading(&mut self) {
        self.state = ElectionState::Leading;
        self.activation = None;
        self.claims_as_leader = false;
    }
}
