//! How long users' requests and agents' heartbeats take to be answered, and how
//! many wait at once.

use crate::core::RequestId;
use crate::types::{Time, TimeSpan};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Most requests that may wait at once; further ones are asked to come back.
const MAX_WAITING: usize = 600;
/// How long a request is remembered whose connection may have been closed.
const WAITING_KEPT: TimeSpan = TimeSpan::millis(30_000);
/// The longest time that histograms tell apart, in milliseconds.
const MAX_MS: u64 = 60_000;
/// Their precision, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The kinds of requests whose response times are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// A submission.
    Submit,
    /// A status poll.
    Poll,
    /// A cancellation.
    Cancel,
    /// An agent's heartbeat.
    Heartbeat,
}

impl fmt::Display for RequestKind {
    /// The text in `/inspect`, which stays whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestKind::Submit => "submit",
            RequestKind::Poll => "poll",
            RequestKind::Cancel => "cancel",
            RequestKind::Heartbeat => "report",
        })
    }
}

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    kind: RequestKind,
    since: Time,
}

/// Requests that wait, and the times of those that were answered.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    waiting: HashMap<RequestId, WaitingRequest>,
    milliseconds: BTreeMap<RequestKind, Histogram<u64>>,
}

impl ResponseTimes {
    /// Notes when a request arrived; false if too many wait already. Heartbeats are
    /// always taken: an agent that is not answered loses its lease.
    #[must_use]
    pub(super) fn start(&mut self, now: Time, request: RequestId, kind: RequestKind) -> bool {
        if self.waiting.len() >= MAX_WAITING && kind != RequestKind::Heartbeat {
            return false;
        }
        self.waiting
            .insert(request, WaitingRequest { kind, since: now });
        true
    }

    /// Measures a request that is answered now, if its kind is measured.
    pub(super) fn finish(&mut self, now: Time, request: RequestId) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        let ms = now.since(waiting.since).as_millis();
        let histogram = self.milliseconds.entry(waiting.kind).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_MS, SIGNIFICANT_DIGITS)
                .expect("fixed bounds are valid")
        });
        histogram.saturating_record(ms.max(1));
    }

    /// Forgets requests whose connection was closed.
    pub(super) fn forget_abandoned(&mut self, now: Time) {
        self.waiting
            .retain(|_, waiting| now.since(waiting.since) < WAITING_KEPT);
    }

    /// Quantiles by kind, in milliseconds.
    pub(super) fn quantiles(&self) -> serde_json::Map<String, serde_json::Value> {
        let kinds = self.milliseconds.iter();
        kinds
            .map(|(kind, histogram)| (kind.to_string(), quantiles_of(histogram)))
            .collect()
    }
}

fn quantiles_of(histogram: &Histogram<u64>) -> serde_json::Value {
    let quantile = |q: f64| histogram.value_at_quantile(q);
    serde_json::json!({
        "count": histogram.len(),
        "ms_50": quantile(0.5),
        "ms_95": quantile(0.95),
        "ms_99": quantile(0.99),
        "ms_max": histogram.max(),
    })
}
