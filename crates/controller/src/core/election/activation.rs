//! Activation of the first fenced format version by a leader. The leader's key
//! moves then, so the leader claims the key anew in the same transaction.

use super::{Election, ElectionState};
use crate::core::effects::Effects;
use crate::core::format_version::member_versions::Activation;
use crate::types::{FencingToken, Version};

impl Election {
    /// Starts to claim the key anew, in the transaction that activates the version.
    pub fn activate_as_leader(
        &mut self,
        effects: &mut Effects,
        token: FencingToken,
        activation: Activation,
    ) {
        if self.state != ElectionState::Leading || self.is_calling {
            return;
        }
        self.activation = Some(activation);
        self.claims_as_leader = true;
        self.state = ElectionState::Vacant(Version(token.0));
        self.tick(effects);
        if self.is_calling {
            self.state = ElectionState::Activating;
        } else {
            self.resume_leading();
        }
    }

    /// Goes on leading, also after an activation that failed or whose outcome is
    /// unknown: if it was applied after all, this leader's next commit fails, and
    /// the election starts over.
    pub(super) fn resume_leading(&mut self) {
        self.state = ElectionState::Leading;
        self.activation = None;
        self.claims_as_leader = false;
    }
}
