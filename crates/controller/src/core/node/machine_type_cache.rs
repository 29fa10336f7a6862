//! The machine types, kept in the state service for nodes that start while the
//! cloud is out.

use super::Node;
use crate::core::{Reply, Target, job_records};
use crate::types::{TimeSpan, Version};
use crate::wire;
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::kvstore::{EntryPage, Operation, Precondition, Transaction};

/// Time between looks at the stored machine types.
const TYPES_EVERY: TimeSpan = TimeSpan::millis(30_000);

impl Node {
    pub(super) fn on_types(&mut self, reply: &Reply) {
        self.types_calling = false;
        let now = self.effects.now.time;
        self.types_due = now + TYPES_EVERY;
        if let Reply::Answer(200, body) = reply
            && let Some(page) = wire::decode::<EntryPage>(body)
            && !page.items.is_empty()
        {
            let kinds: Vec<MachineType> = page
                .items
                .iter()
                .filter_map(|e| job_records::read::<Vec<MachineType>>(&e.value))
                .flatten()
                .collect();
            let types = MachineTypes { kinds };
            if let Some(leader) = &mut self.leader {
                leader.set_types(&types);
            }
            self.types = Some(types);
        } else if self.types.is_none() {
            self.types_due = now + TimeSpan::millis(500);
        }
    }

    /// The cloud has told the machine types: they are kept in the state
    /// service, for nodes that start while the cloud is out.
    pub(super) fn learned(&mut self, types: MachineTypes) {
        let Some(leader) = &self.leader else {
            return;
        };
        if self.types.as_ref() == Some(&types) {
            return;
        }
        let most = self.settings.state_limits.value_bytes;
        let mut pieces: Vec<Vec<&MachineType>> = vec![Vec::new()];
        let mut length = 2;
        for t in &types.kinds {
            let len = serde_json::to_vec(t).map_or(0, |b| b.len()) + 1;
            if length + len > most {
                pieces.push(Vec::new());
                length = 2;
            }
            length += len;
            if let Some(last) = pieces.last_mut() {
                last.push(t);
            }
        }
        let ops = pieces
            .iter()
            .enumerate()
            .take(self.settings.state_limits.txn_ops)
            .map(|(i, p)| Operation::Put {
                key: format!("{}/{i:03}", job_records::MACHINE_TYPES),
                value: serde_json::to_value(p).unwrap_or_default(),
                lease: None,
            })
            .collect();
        let txn = Transaction {
            conditions: vec![Precondition {
                key: leader.holder.into(),
                version: Version(leader.token.0),
            }],
            ops,
        };
        self.effects.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            TimeSpan::secs(2.0),
        );
        self.types = Some(types);
    }
}
