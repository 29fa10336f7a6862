//! The modules of the core have no circular dependencies, so each one can be understood and
//! replaced together with only the modules that it uses.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

fn identifier(text: &str) -> String {
    let is_name = |c: &char| c.is_alphanumeric() || *c == '_';
    text.chars().take_while(is_name).collect()
}

/// The names of the outermost items of a grouped import. `group` starts after the opening
/// brace; text after the matching closing brace is ignored.
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

/// The first name of each path after `super::` or `crate::core::`, those of grouped imports
/// included.
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

/// For each module of the core the other modules that its code, without tests, names.
fn module_uses() -> BTreeMap<String, BTreeSet<String>> {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let mut used_by_module = BTreeMap::new();
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
        let used: &mut BTreeSet<String> = used_by_module.entry(name).or_default();
        used.extend(named_modules(&text));
    }
    let names: BTreeSet<String> = used_by_module.keys().cloned().collect();
    for (name, used) in &mut used_by_module {
        used.retain(|u| u != name && names.contains(u));
    }
    used_by_module
}

/// The path and the text of each source file below a directory, `tests.rs` files excluded.
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

/// The lines whose code, without comments, contains this identifier.
fn lines_naming<'a>(code: &'a str, identifier: &str) -> Vec<&'a str> {
    let is_named = |line: &&str| {
        let code = line.split("//").next().unwrap();
        let mut words = code.split(|c: char| !c.is_alphanumeric() && c != '_');
        words.any(|word| word == identifier)
    };
    code.lines().filter(is_named).collect()
}

// Every method of `Leader` once could change each of its fifty fields. The submodules of
// `leader` now receive what they read as arguments, so none of them may name `Leader`.
#[test]
fn leader_submodules_do_not_name_leader() {
    let core = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/core");
    let owner = std::fs::read_to_string(core.join("leader.rs")).unwrap();
    assert!(!lines_naming(&owner, "Leader").is_empty());
    let submodules = sources(&core.join("leader"));
    assert!(submodules.len() > 20, "{} submodules", submodules.len());
    for (path, code) in submodules {
        let naming = lines_naming(&code, "Leader");
        assert!(naming.is_empty(), "{}: {naming:?}", path.display());
    }
}

// Five files once depended on one another in a circle, so any of them could change the state
// of the others.
#[test]
fn core_modules_have_no_circular_uses() {
    let mut remaining = module_uses();
    assert!(
        remaining.len() > 20 && remaining["node"].contains("leader"),
        "{remaining:?}"
    );
    loop {
        let independent: Vec<String> = remaining
            .iter()
            .filter(|(_, used)| used.iter().all(|u| !remaining.contains_key(u)))
            .map(|(name, _)| name.clone())
            .collect();
        if independent.is_empty() {
            break;
        }
        for name in independent {
            remaining.remove(&name);
        }
    }
    assert!(
        remaining.is_empty(),
        "these modules depend on one another: {remaining:#?}"
    );
}
