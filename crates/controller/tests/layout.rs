//! What a part of the core uses, others can be built and handed over without: no two
//! parts of the core need one another.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

fn identifier(text: &str) -> String {
    let is_name = |c: &char| c.is_alphanumeric() || *c == '_';
    text.chars().take_while(is_name).collect()
}

/// The outermost items of a grouped import, up to its closing brace.
fn group_items(group: &str) -> Vec<String> {
    let (mut items, mut depth) = (vec![String::new()], 0);
    for c in group.chars() {
        match c {
            '}' if depth == 0 => break,
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => items.push(String::new()),
            c if depth == 0 && !c.is_whitespace() => items.last_mut().unwrap().push(c),
            _ => {}
        }
    }
    items.iter().map(|item| identifier(item)).collect()
}

/// The first names after `super::` and `crate::core::`, also those of grouped imports.
fn named_modules(code: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for prefix in ["super::", "crate::core::"] {
        for (at, _) in code.match_indices(prefix) {
            let rest = &code[at + prefix.len()..];
            match rest.strip_prefix('{') {
                Some(group) => names.extend(group_items(group)),
                None => drop(names.insert(identifier(rest))),
            }
        }
    }
    names
}

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
        used.extend(named_modules(&text));
    }
    let names: BTreeSet<String> = out.keys().cloned().collect();
    for (name, used) in &mut out {
        used.retain(|u| u != name && names.contains(u));
    }
    out
}

/// The sources below a directory, tests left out, by path.
fn sources(directory: &Path) -> Vec<(PathBuf, String)> {
    let mut sources = Vec::new();
    let mut directories = vec![directory.to_path_buf()];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(&directory).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                directories.push(path);
            } else if !path.ends_with("tests.rs") {
                let code = std::fs::read_to_string(&path).unwrap();
                sources.push((path, code));
            }
        }
    }
    sources
}

/// The lines of code, without comments, that name this identifier.
fn lines_naming<'a>(code: &'a str, identifier: &str) -> Vec<&'a str> {
    let is_named = |line: &&str| {
        let code = line.split("//").next().unwrap();
        let mut words = code.split(|c: char| !c.is_alphanumeric() && c != '_');
        words.any(|word| word == identifier)
    };
    code.lines().filter(is_named).collect()
}

// Every method of the leader once could touch each of its fifty fields. Its parts take
// what they read as arguments, so none of them knows the whole.
#[test]
fn parts_of_the_leader_do_not_name_it() {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let owner = std::fs::read_to_string(core.join("leader.rs")).unwrap();
    assert!(!lines_naming(&owner, "Leader").is_empty());
    let parts = sources(&core.join("leader"));
    assert!(parts.len() > 20, "{} parts", parts.len());
    for (path, code) in parts {
        let naming = lines_naming(&code, "Leader");
        assert!(naming.is_empty(), "{}: {naming:?}", path.display());
    }
}

// Five files once needed one another, and everything could touch everything.
#[test]
fn core_modules_have_no_circular_uses() {
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
