//! Reads: one key, and pages of keys in order.

use super::reply::{Reply, check_key, integer_param, json_length, parse_query};
use super::{Service, decode_value};
use crate::storage::Storage;
use pebblefold_wire::kvstore as wire;
use pebblefold_wire::types::Version;

/// Maximum number of keys in one page; also the default.
const MAX_PAGE_KEYS: usize = 1000;
/// Maximum length of one page's entries, as JSON. A page holds at least one entry.
const MAX_PAGE_BYTES: usize = 512 * 1024;

impl<S: Storage> Service<S> {
    /// Reads one key with its value, version and lease; 404 with the store's revision
    /// if the key is absent.
    pub(super) fn read_key(&self, key: &str) -> Result<Reply, Reply> {
        check_key(key)?;
        Ok(match self.state.keys.get(key) {
            Some(stored) => Reply::message(
                200,
                &wire::KeyResponse {
                    key: key.to_string(),
                    value: decode_value(&stored.value),
                    version: stored.version,
                    lease: stored.lease,
                },
            ),
            None => Reply::message(404, &self.transaction_response(Vec::new())),
        })
    }

    /// Reads keys in order, as many as fit into a page: those that begin with the query
    /// parameter `starts` and sort after the parameter `since`.
    pub(super) fn read_page(&self, query: &str) -> Result<Reply, Reply> {
        let params = parse_query(query)?;
        let prefix = params.get("starts").copied().unwrap_or("");
        let after = params.get("since").copied().unwrap_or("");
        let limit =
            integer_param(&params, "most", MAX_PAGE_KEYS as u64)?.clamp(1, MAX_PAGE_KEYS as u64);
        let first = prefix.max(after);
        let keys = self.state.keys.range(first.to_string()..);
        let keys = keys.take_while(|(name, _)| name.starts_with(prefix));
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (name, stored) in keys.filter(|(n, _)| n.as_str() > after || after.is_empty()) {
            let entry = wire::Entry {
                key: name.clone(),
                value: decode_value(&stored.value),
                version: stored.version,
            };
            bytes += json_length(&entry) + 1;
            // One entry always fits: a value is much smaller than a page.
            if items.len() as u64 >= limit || (bytes > MAX_PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            items.push(entry);
        }
        let page = wire::EntryPage {
            items,
            more,
            revision: Version(self.state.counters.revision),
        };
        Ok(Reply::message(200, &page))
    }
}
