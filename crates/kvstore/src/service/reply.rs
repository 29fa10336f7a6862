//! Replies, and checks of requests' parameters and keys that fail with an error reply.

use pebblefold_wire::encode;
use std::collections::BTreeMap;

/// Maximum length of a key.
const MAX_KEY_BYTES: usize = 200;

/// The response to a request, as the transport sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body in MessagePack; empty if the status alone is the answer.
    pub body: Vec<u8>,
}

impl Reply {
    /// A reply with a body that is encoded from `body`.
    pub(super) fn message<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: encode(body),
        }
    }

    /// A reply whose body is an error message.
    pub(super) fn error(status: u16, reason: impl Into<String>) -> Reply {
        let error = reason.into();
        Reply::message(status, &pebblefold_wire::users::ErrorResponse { error })
    }

    /// A reply without a body.
    pub(super) fn empty(status: u16) -> Reply {
        Reply {
            status,
            body: Vec::new(),
        }
    }
}

/// Parses a query string, `name=value` pairs joined by `&`. The error is a reply with 400 for
/// a pair without `=`.
pub(super) fn parse_query(query: &str) -> Result<BTreeMap<&str, &str>, Reply> {
    let pairs = query.split('&').filter(|p| !p.is_empty());
    pairs
        .map(|pair| {
            pair.split_once('=')
                .ok_or_else(|| Reply::error(400, format!("parameter {pair}: has no value")))
        })
        .collect()
}

/// Parses the integer parameter `name`; `default` if it is absent. The error is a reply with
/// 400 for a value that is not a number.
pub(super) fn integer_param(
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

/// Checks that `key` is a valid key: 1 to [`MAX_KEY_BYTES`] bytes without whitespace or
/// control characters. The error is a reply with 400.
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

/// A writer that counts bytes and discards them.
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

/// Length in bytes of `value` as JSON: the protocol states its limits in JSON bytes,
/// although messages are sent as MessagePack.
pub(super) fn json_length<T: serde::Serialize>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    serde_json::to_writer(&mut counter, value).map_or(usize::MAX, |()| counter.0)
}
