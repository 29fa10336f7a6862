//! What a part of the core uses, others can be built and handed over without: no two
//! parts of the core need one another.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The core's modules and which others their code (not their tests) names.
fn uses() -> BTreeMap<String, BTreeSet<String>> {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let mut out = BTreeMap::new();
    for entry in std::fs::read_dir(&core).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_string();
        if name == "mod" {
            continue;
        }
        let mut text = String::new();
        let mut files = vec![path];
        while let Some(file) = files.pop() {
            if file.is_dir() {
                let inner = std::fs::read_dir(&file).unwrap();
                let inner = inner.map(|e| e.unwrap().path());
                files.extend(inner.filter(|f| !f.ends_with("tests.rs")));
            } else {
                let code = std::fs::read_to_string(&file).unwrap();
                text.push_str(code.split("#[cfg(test)]\nmod tests").next().unwrap());
            }
        }
        let used: &mut BTreeSet<String> = out.entry(name).or_default();
        for part in ["use super::", "use crate::core::", "pub use super::"] {
            for line in text.lines().filter_map(|l| l.trim().strip_prefix(part)) {
                let first: String = line.chars().take_while(|c| c.is_alphanumeric()).collect();
                used.insert(first);
            }
        }
    }
    let names: BTreeSet<String> = out.keys().cloned().collect();
    for (name, used) in &mut out {
        used.retain(|u| u != name && names.contains(u));
    }
    out
}

// Five files once needed one another, and everything could touch everything.
#[test]
fn the_core_has_no_circle() {
    let mut left = uses();
    assert!(
        left.len() > 20 && left["node"].contains("leader"),
        "{left:?}"
    );
    loop {
        let free: Vec<String> = left
            .iter()
            .filter(|(_, used)| used.iter().all(|u| !left.contains_key(u)))
            .map(|(name, _)| name.clone())
            .collect();
        if free.is_empty() {
            break;
        }
        for name in free {
            left.remove(&name);
        }
    }
    assert!(left.is_empty(), "these need one another: {left:#?}");
}
