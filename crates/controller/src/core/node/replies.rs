//! Dispatch of each reply to the component whose call it answers. Replies to calls that
//! no component waits for any more are dropped.

use super::{Node, PendingCall};
use crate::core::leader;
use crate::core::{CallId, Reply};

impl Node {
    pub(super) fn handle_reply(&mut self, id: CallId, reply: Reply) {
        let is_answered = matches!(reply, Reply::Answer(..));
        let leader = self.leader.as_mut();
        if let Some(call) = leader.and_then(|l| l.pending_calls.take(id)) {
            if is_answered && !matches!(call, leader::PendingCall::Cloud(..)) {
                self.record_store_answer();
            }
            return self.with_leader(|leader, effects| leader.handle_reply(effects, call, reply));
        }
        if let Some(call) = self.election.pending_calls.take(id) {
            if is_answered {
                self.record_store_answer();
            }
            let outcome = self.election.handle_reply(&mut self.effects, call, reply);
            self.handle_election_outcome(outcome);
        } else if let Some(call) = self.job_api.pending_calls.take(id) {
            self.job_api.handle_reply(&mut self.effects, call, reply);
        } else if let Some(call) = self.pending_calls.take(id) {
            match call {
                PendingCall::ForwardedHeartbeat { request } => {
                    return self.handle_forwarding_reply(request, reply);
                }
                PendingCall::CloudCall { request } => {
                    return self.handle_cloud_reply(request, reply);
                }
                call => self.handle_own_reply(call, &reply),
            }
        }
        // The reply may have changed the election's state: the election makes its next
        // call now, without waiting for a tick.
        self.election.tick(&mut self.effects);
    }

    fn handle_own_reply(&mut self, call: PendingCall, reply: &Reply) {
        match call {
            PendingCall::MachineTypes => self.handle_machine_types(reply),
            PendingCall::PeerHeartbeat(peer) => self.handle_peer_heartbeat_reply(peer, reply),
            PendingCall::Probe { token, sent } => self.handle_probe_reply(token, sent, reply),
            PendingCall::SuspicionQuery => self.handle_suspicion_report(reply),
            PendingCall::LeaderKey => self.handle_leader_key_reply(reply),
            PendingCall::VersionWrite(activated) => self.handle_version_write(activated, reply),
            PendingCall::MachineTypeWrite(size) => self.handle_machine_type_write(size, reply),
            // Handled by the caller, which needs the reply by value.
            PendingCall::ForwardedHeartbeat { .. } | PendingCall::CloudCall { .. } => {}
        }
    }

    fn record_store_answer(&mut self) {
        let now = self.effects.now.time;
        self.last_store_answer = self.last_store_answer.max(Some(now));
    }
}
