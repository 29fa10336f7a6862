//! Replies, and the checks of a request's text that are answered with them.

use pebblefold_wire::encode;
use std::collections::BTreeMap;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// The answer to a request, to be put on the wire as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body, in MessagePack; empty where the status says all.
    pub body: Vec<u8>,
}

impl Reply {
    /// A status and a message.
    pub(super) fn message<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: encode(body),
        }
    }

    /// A status and the reason for it.
    pub(super) fn error(status: u16, reason: impl Into<String>) -> Reply {
        let error = reason.into();
        Reply::message(status, &pebblefold_wire::users::ErrorResponse { error })
    }

    /// A status alone.
    pub(super) fn empty(status: u16) -> Reply {
        Reply {
            status,
            body: Vec::new(),
        }
    }
}

/// The parameters of a query, `name=value` joined by `&`.
pub(super) fn parse_query(query: &str) -> Result<BTreeMap<&str, &str>, Reply> {
    let pairs = query.split('&').filter(|p| !p.is_empty());
    pairs
        .map(|pair| {
            pair.split_once('=')
                .ok_or_else(|| Reply::error(400, format!("parameter {pair}: has no value")))
        })
        .collect()
}

/// A whole number among the parameters, or `default` where it is absent.
pub(super) fn number(
    params: &BTreeMap<&str, &str>,
    name: &str,
    default: u64,
) -> Result<u64, Reply> {
    match params.get(name) {
        None => Ok(default),
        Some(value) => value
            .parse()
            .map_err(|_| Reply::error(400, format!("{name}: {value} is not a number"))),
    }
}

/// Whether `key` can be a key.
pub(super) fn check_key(key: &str) -> Result<(), Reply> {
    let fits = (1..=MAX_KEY_BYTES).contains(&key.len());
    if fits && !key.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Ok(());
    }
    Err(Reply::error(
        400,
        format!("key {key:?}: has to be 1 to {MAX_KEY_BYTES} bytes with no spaces"),
    ))
}

/// Counts bytes of JSON without keeping them.
struct ByteCounter(usize);

impl std::io::Write for ByteCounter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Length of a value as JSON, by which the protocol's limits are given.
pub(super) fn json_length<T: serde::Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    serde_json::to_writer(&mut counter, value).map_or(usize::MAX, |()| counter.0)
}
