//! A copy of the cloud's machine types in the key-value store, for controllers that start
//! while the cloud API is unavailable.

use super::{Node, PendingCall};
use crate::core::store_limits::{Division, TransactionSize};
use crate::core::{Reply, Target, job_records};
use crate::types::{TimeSpan, Version};
use crate::wire;
use crate::wire::cloud::{MachineType, MachineTypes};
use crate::wire::kvstore::{EntryPage, Operation, Precondition, Transaction, error_text};

/// Time between reads of the stored machine types once some are known.
const READ_PERIOD: TimeSpan = TimeSpan::millis(30_000);
/// Time between reads while no machine types are known.
const RETRY_PERIOD: TimeSpan = TimeSpan::millis(500);
/// Timeout of one read or write.
const CALL_TIMEOUT: TimeSpan = TimeSpan::millis(2000);
/// Most keys in one read.
const MAX_KEYS_PER_READ: u32 = 100;

impl Node {
    pub(super) fn read_machine_types_if_due(&mut self) {
        if self.is_reading_machine_types || self.effects.now.time < self.machine_types_due {
            return;
        }
        self.is_reading_machine_types = true;
        let prefix = job_records::MACHINE_TYPES_KEY;
        let path = format!("/keys?starts={prefix}/&most={MAX_KEYS_PER_READ}");
        let call = self
            .effects
            .call(Target::Store, "GET", path, Vec::new(), CALL_TIMEOUT);
        self.pending_calls.add(call, PendingCall::MachineTypes);
    }

    pub(super) fn handle_machine_types(&mut self, reply: &Reply) {
        self.is_reading_machine_types = false;
        let now = self.effects.now.time;
        self.machine_types_due = now + READ_PERIOD;
        let page = reply.decode_success::<EntryPage>();
        let Some(page) = page.filter(|page| !page.items.is_empty()) else {
            if self.machine_types.is_none() {
                self.machine_types_due = now + RETRY_PERIOD;
            }
            return;
        };
        self.stored_machine_type_chunks = page.items.len();
        let entries = page.items.iter();
        let chunks = entries.filter_map(|e| job_records::read_record::<Vec<MachineType>>(&e.value));
        let types = MachineTypes {
            kinds: chunks.flatten().collect(),
        };
        if let Some(leader) = &mut self.leader {
            leader.set_machine_types(&types);
        }
        self.machine_types = Some(types);
    }

    /// Stores machine types that the cloud has just listed, if they changed. Only the
    /// leader writes them, on the condition that it still holds the leader's key.
    pub(super) fn store_machine_types(&mut self, types: MachineTypes) {
        if self.machine_types.as_ref() == Some(&types) {
            return;
        }
        let Some(transaction) = self.machine_types_transaction(&types) else {
            return;
        };
        self.write_machine_types(&transaction);
        self.machine_types = Some(types);
    }

    /// The transaction that stores machine types within the key-value store's limits;
    /// `None` if this controller does not lead.
    fn machine_types_transaction(&self, types: &MachineTypes) -> Option<Transaction> {
        let leader = self.leader.as_ref()?;
        let limits = self.effects.store_limits.current();
        let chunks = split_by_size(&types.kinds, limits.value_bytes);
        let key = |number: usize| format!("{}/{number:03}", job_records::MACHINE_TYPES_KEY);
        let puts = chunks
            .iter()
            .enumerate()
            .map(|(number, chunk)| Operation::Put {
                key: key(number),
                value: serde_json::to_value(chunk).unwrap_or_default(),
                lease: None,
            });
        // Chunks of an earlier list that was divided into more of them are obsolete.
        let obsolete = chunks.len()..self.stored_machine_type_chunks;
        let deletes = obsolete.map(|number| Operation::Delete { key: key(number) });
        Some(Transaction {
            conditions: vec![Precondition {
                key: leader.leader_key.into(),
                version: Version(leader.token.0),
            }],
            ops: puts.chain(deletes).take(limits.txn_ops).collect(),
        })
    }

    fn write_machine_types(&mut self, transaction: &Transaction) {
        let size = TransactionSize::of(transaction);
        let body = wire::encode(transaction);
        let call = self
            .effects
            .call(Target::Store, "POST", "/commit".into(), body, CALL_TIMEOUT);
        self.pending_calls
            .add(call, PendingCall::MachineTypeWrite(size));
        let puts = transaction.ops.iter();
        let chunks = puts
            .filter(|op| matches!(op, Operation::Put { .. }))
            .count();
        self.stored_machine_type_chunks = self.stored_machine_type_chunks.max(chunks);
    }

    /// Handles the reply to a write of machine types of this size. A refused one is
    /// repeated if smaller values are possible. After any other failure the copy stays as
    /// it was until the list changes again.
    pub(super) fn handle_machine_type_write(&mut self, size: TransactionSize, reply: &Reply) {
        let Reply::Answer(400, body) = reply else {
            return;
        };
        self.effects.record_store_refusal(size, Division::Values);
        let types = self.machine_types.as_ref();
        let smaller = types
            .and_then(|types| self.machine_types_transaction(types))
            .filter(|next| {
                TransactionSize::of(next).largest_value_bytes < size.largest_value_bytes
            });
        if let Some(transaction) = smaller {
            return self.write_machine_types(&transaction);
        }
        let error = error_text(body);
        tracing::error!(error, "the key-value store refuses the machine types");
    }
}

/// Splits machine types into chunks whose JSON has at most `max_bytes` bytes each. A
/// single machine type above that size gets a chunk to itself.
fn split_by_size(types: &[MachineType], max_bytes: usize) -> Vec<Vec<&MachineType>> {
    const BRACKETS_BYTES: usize = 2;
    const COMMA_BYTES: usize = 1;
    let mut chunks: Vec<Vec<&MachineType>> = vec![Vec::new()];
    let mut chunk_bytes = BRACKETS_BYTES;
    for machine_type in types {
        let bytes = serde_json::to_vec(machine_type).map_or(0, |json| json.len()) + COMMA_BYTES;
        if chunk_bytes + bytes > max_bytes {
            chunks.push(Vec::new());
            chunk_bytes = BRACKETS_BYTES;
        }
        chunk_bytes += bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(machine_type);
        }
    }
    chunks
}
