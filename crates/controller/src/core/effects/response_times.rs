//! Response times of users' requests and agents' heartbeats, and the number of requests
//! that wait for an answer.

use crate::core::RequestId;
use crate::types::{Time, TimeSpan};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Maximum number of requests that wait for an answer. The callers of further requests
/// are told to retry later.
const MAX_WAITING_REQUESTS: usize = 600;
/// A waiting request older than this is dropped: its connection may have been closed.
const MAX_WAITING_TIME: TimeSpan = TimeSpan::millis(30_000);
/// Upper bound of the histograms, in milliseconds; longer times count as this.
const MAX_RECORDED_MS: u64 = 60_000;
/// The precision of the histograms, in significant decimal digits.
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
    /// The text in `/inspect`. It stays the same if a variant is renamed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestKind::Submit => "submit",
            RequestKind::Poll => "poll",
            RequestKind::Cancel => "cancel",
            RequestKind::Heartbeat => "report",
        })
    }
}

/// A request that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    kind: RequestKind,
    since: Time,
}

/// The waiting requests, and the response times of the answered ones.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    waiting: HashMap<RequestId, WaitingRequest>,
    histograms_ms: BTreeMap<RequestKind, Histogram<u64>>,
}

impl ResponseTimes {
    /// Records that a request arrived at `now`; false if too many wait already.
    /// Heartbeats are always accepted: an agent without an answer loses its lease.
    #[must_use]
    pub(super) fn start(&mut self, now: Time, request: RequestId, kind: RequestKind) -> bool {
        if self.waiting.len() >= MAX_WAITING_REQUESTS && kind != RequestKind::Heartbeat {
            return false;
        }
        self.waiting
            .insert(request, WaitingRequest { kind, since: now });
        true
    }

    /// Records the response time of a request that is answered at `now`. Ignores requests
    /// whose arrival was not recorded.
    pub(super) fn finish(&mut self, now: Time, request: RequestId) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        let ms = now.since(waiting.since).as_millis();
        let histogram = self.histograms_ms.entry(waiting.kind).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
                .expect("fixed bounds are valid")
        });
        histogram.saturating_record(ms.max(1));
    }

    /// Drops waiting requests so old that their connection is presumed closed.
    pub(super) fn drop_abandoned(&mut self, now: Time) {
        self.waiting
            .retain(|_, waiting| now.since(waiting.since) < MAX_WAITING_TIME);
    }

    /// Quantiles of the response times by kind, in milliseconds.
    pub(super) fn quantiles(&self) -> serde_json::Map<String, serde_json::Value> {
        let kinds = self.histograms_ms.iter();
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
