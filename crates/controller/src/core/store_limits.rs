//! The limits of the key-value store on transactions, values and writes, as far as this
//! controller knows them. The store may lower and raise its limits at any time without
//! notice, so the limits in force are inferred from its answers. This module sends
//! nothing.
//!
//! | observation | conclusion |
//! | --- | --- |
//! | 400, and the transaction exceeds the announced limits | the announced limits are in force |
//! | 400 to any other transaction | half as many operations are tried |
//! | 400 to a transaction that cannot be divided | its largest value is too large |
//! | 400 to a transaction that can be made no smaller | the cause is not its size |
//! | 429 to several commits in a row | the announced write rate is in force |
//! | no refusal for a while | higher limits are tried, up to the configured ones |
//!
//! A limit that is assumed too low only costs throughput, and one that is assumed too high
//! costs one refused transaction, of which the store has executed nothing. So no safety
//! property depends on these conclusions.

use super::job_records::json_len;
use crate::settings::{Settings, StateLimits};
use crate::types::{Time, TimeSpan};
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{Operation, Transaction};

/// Maximum preconditions of a transaction for each operation that it may have.
const PRECONDITIONS_PER_OPERATION: usize = 4;
/// Least assumed limit on operations. The end of a job takes two in one transaction.
pub const MIN_OPERATIONS: usize = 2;
/// Least assumed limit on the size of a value, in bytes. Records that cannot be divided are
/// smaller.
pub const MIN_VALUE_BYTES: usize = 512;
/// The part of a refused value's size that is tried next.
const VALUE_DECREASE: f64 = 0.75;
/// How many commits in a row have to be refused with 429 before the announced write rate is
/// assumed; single ones come from bursts of any requests.
const MAX_CONSECUTIVE_RATE_REFUSALS: u32 = 3;
/// Shortest and longest time after which higher limits are tried.
const SHORTEST_RAISE_PAUSE: TimeSpan = TimeSpan::millis(30_000);
const LONGEST_RAISE_PAUSE: TimeSpan = TimeSpan::millis(480_000);

/// The properties of a transaction that the store limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionSize {
    /// Number of puts and deletes.
    pub operations: usize,
    /// Number of preconditions.
    pub preconditions: usize,
    /// Size of the largest value, in bytes of JSON.
    pub largest_value_bytes: usize,
}

impl TransactionSize {
    /// The size of a transaction.
    pub fn of(transaction: &Transaction) -> TransactionSize {
        let value_bytes = |operation: &Operation| match operation {
            Operation::Put { value, .. } => json_len(value),
            Operation::Delete { .. } => 0,
        };
        TransactionSize {
            operations: transaction.ops.len(),
            preconditions: transaction.conditions.len(),
            largest_value_bytes: transaction.ops.iter().map(value_bytes).max().unwrap_or(0),
        }
    }

    /// The smallest limit on operations that permits this many operations and
    /// preconditions.
    fn required_operations(&self) -> usize {
        let for_preconditions = self.preconditions.div_ceil(PRECONDITIONS_PER_OPERATION);
        self.operations.max(for_preconditions)
    }

    fn is_within(&self, limits: &StateLimits) -> bool {
        self.required_operations() <= limits.txn_ops
            && self.largest_value_bytes <= limits.value_bytes
    }
}

/// How a transaction can be made smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Division {
    /// It consists of this many parts, which may be sent in several transactions.
    Parts(usize),
    /// Its values can be divided, at the cost of more operations.
    Values,
}

/// What the refusal of a transaction with status 400 means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The transaction exceeds the limits that are now assumed; smaller ones may succeed.
    TooLarge,
    /// One of its parts is the cause; each is to be sent by itself.
    OneOfItsParts,
    /// The transaction can be made no smaller: its size is not the cause.
    NotItsSize,
}

/// The limits that are assumed to be in force.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    configured: StateLimits,
    /// Limits that the store will have from an unknown time on; `None`: none are announced.
    announced: Option<StateLimits>,
    current: StateLimits,
    /// The limits when the search for the cause of a refusal began; `None`: there was no
    /// search since the limits were last raised.
    before_search: Option<StateLimits>,
    /// Most operations of one commit, as the store's rate limiter may have room for fewer
    /// than a transaction may have.
    burst_operations: usize,
    consecutive_rate_refusals: u32,
    /// When higher limits are tried; `None`: the configured limits are in use.
    raise_at: Option<Time>,
    raise_pause: TimeSpan,
    raise_backoff: Backoff,
    /// Whether limits were raised since they were last lowered.
    was_raised: bool,
    last_lowered: Time,
}

impl StoreLimits {
    /// The configured limits, until the store refuses a transaction.
    pub fn new(settings: &Settings) -> StoreLimits {
        let configured = settings.state_limits;
        StoreLimits {
            configured,
            announced: settings.next_state_limits,
            current: configured,
            before_search: None,
            burst_operations: configured.txn_ops,
            consecutive_rate_refusals: 0,
            raise_at: None,
            raise_pause: SHORTEST_RAISE_PAUSE,
            raise_backoff: Backoff::default(),
            was_raised: true,
            last_lowered: Time(0),
        }
    }

    /// The limits that the settings name, which are the highest ever assumed.
    pub fn configured(&self) -> &StateLimits {
        &self.configured
    }

    /// The limits that are assumed to be in force.
    pub fn current(&self) -> &StateLimits {
        &self.current
    }

    /// Maximum puts and deletes in one commit of the leader: the current limit, or fewer
    /// after the store's rate limiter had no room for so many at once.
    pub fn commit_operations(&self) -> usize {
        self.current.txn_ops.min(self.burst_operations)
    }

    /// Maximum preconditions in one transaction.
    pub fn preconditions(&self) -> usize {
        self.current.txn_ops * PRECONDITIONS_PER_OPERATION
    }

    /// Maximum size of a value, in bytes of JSON.
    pub fn value_bytes(&self) -> usize {
        self.current.value_bytes
    }

    /// Maximum puts and deletes per second of all controllers together.
    pub fn write_rps(&self) -> f64 {
        self.current.write_rps
    }

    /// Records that a transaction of this size was refused with status 400.
    pub fn record_refusal(
        &mut self,
        now: Time,
        size: TransactionSize,
        division: Division,
    ) -> RefusalCause {
        if !size.is_within(&self.current) {
            // It was sent before another refusal lowered the limits.
            return RefusalCause::TooLarge;
        }
        if let Some(announced) = self.announced.filter(|limits| !size.is_within(limits)) {
            self.apply_announced(announced);
            self.record_lowering(now);
            return RefusalCause::TooLarge;
        }
        let before = *self.before_search.get_or_insert(self.current);
        if let Division::Parts(parts) = division {
            if size.required_operations() > MIN_OPERATIONS {
                self.current.txn_ops = (size.required_operations() / 2).max(MIN_OPERATIONS);
                self.record_lowering(now);
                return RefusalCause::TooLarge;
            }
            if parts > 1 {
                return RefusalCause::OneOfItsParts;
            }
        }
        // The number of operations is not the cause.
        self.current.txn_ops = before.txn_ops;
        if size.largest_value_bytes <= MIN_VALUE_BYTES {
            self.current.value_bytes = before.value_bytes;
            return RefusalCause::NotItsSize;
        }
        let smaller = (size.largest_value_bytes as f64 * VALUE_DECREASE) as usize;
        self.current.value_bytes = smaller.max(MIN_VALUE_BYTES);
        self.record_lowering(now);
        RefusalCause::TooLarge
    }

    /// Records that a commit was executed or that its preconditions were compared.
    pub fn record_committed(&mut self) {
        self.consecutive_rate_refusals = 0;
        self.burst_operations = (self.burst_operations * 2).min(self.configured.txn_ops);
    }

    /// Records that a commit of this many operations was refused with status 429. The next
    /// one is smaller: with a lower write rate the limiter may never have room for as many
    /// at once. The status does not tell whether writes or requests were too many, so no
    /// rate is assumed that is not announced.
    pub fn record_rate_refusal(&mut self, now: Time, operations: usize) {
        self.burst_operations = (operations / 2).max(MIN_OPERATIONS);
        self.consecutive_rate_refusals += 1;
        if self.consecutive_rate_refusals < MAX_CONSECUTIVE_RATE_REFUSALS {
            return;
        }
        self.consecutive_rate_refusals = 0;
        let announced = self.announced.map(|limits| limits.write_rps);
        if let Some(lower) = announced.filter(|rate| *rate < self.current.write_rps) {
            self.current.write_rps = lower;
            self.record_lowering(now);
        }
    }

    /// Raises lowered limits once no transaction has been refused for a while, as the store
    /// may have raised its own.
    pub fn raise_if_due(&mut self, now: Time) {
        if self.raise_at.is_none_or(|at| now < at) {
            return;
        }
        let (current, configured) = (&mut self.current, &self.configured);
        current.txn_ops = (current.txn_ops * 2).min(configured.txn_ops);
        current.value_bytes = (current.value_bytes * 2).min(configured.value_bytes);
        current.write_rps = (current.write_rps * 2.0).min(configured.write_rps);
        self.before_search = None;
        self.was_raised = true;
        self.raise_at = (self.current != self.configured).then(|| now + self.raise_pause);
        self.log("trying higher limits of the key-value store again");
    }

    fn apply_announced(&mut self, announced: StateLimits) {
        let current = &mut self.current;
        current.txn_ops = current.txn_ops.min(announced.txn_ops);
        current.value_bytes = current.value_bytes.min(announced.value_bytes);
        current.write_rps = current.write_rps.min(announced.write_rps);
        self.before_search = None;
    }

    /// Schedules the next raise. The pause doubles while raised limits are refused again.
    fn record_lowering(&mut self, now: Time) {
        if now.since(self.last_lowered) > LONGEST_RAISE_PAUSE + LONGEST_RAISE_PAUSE {
            self.raise_backoff.succeeded();
        }
        if self.was_raised {
            let full_jitter = 1.0;
            self.raise_pause = self.raise_backoff.next_pause(
                SHORTEST_RAISE_PAUSE,
                LONGEST_RAISE_PAUSE,
                full_jitter,
            );
        }
        self.was_raised = false;
        self.last_lowered = now;
        self.raise_at = Some(now + self.raise_pause);
        self.log("the key-value store refused a write; using lower limits");
    }

    fn log(&self, message: &'static str) {
        tracing::warn!(
            operations = self.current.txn_ops,
            value_bytes = self.current.value_bytes,
            write_rps = self.current.write_rps,
            "{message}"
        );
    }
}

#[cfg(test)]
mod tests;
