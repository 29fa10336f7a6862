//! Files of this machine as CWL's values.

use crate::engine::Object;
use crate::node::MOST_BYTES;
use crate::tool::{Directory, MOST_CONTENTS, MOST_LISTED, each_file};
use serde_json::{Value, json};
use std::fs;
use std::io::{Error, Read};
use std::path::{Path, PathBuf};

/// A directory as tools see it.
#[derive(Clone, Debug)]
pub struct Local(pub PathBuf);

impl Directory for Local {
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        let own = format!("{}/", self.0.display());
        let pattern = pattern.strip_prefix(&own).unwrap_or(pattern);
        if pattern.starts_with('/') || pattern.split('/').any(|p| p == "..") {
            return Err(format!("glob: {pattern} leads out of the directory"));
        }
        // As a shell does: a star matches neither what is hidden nor a slash.
        let options = glob::MatchOptions {
            case_sensitive: true,
            require_literal_separator: true,
            require_literal_leading_dot: true,
        };
        let base = glob::Pattern::escape(&self.0.display().to_string());
        let found = glob::glob_with(&format!("{base}/{pattern}"), options)
            .map_err(|e| format!("glob: {pattern}: {e}"))?;
        let inside = |p: PathBuf| {
            let p = p.strip_prefix(&self.0).ok()?;
            Some(p.display().to_string())
        };
        let mut all: Vec<String> = found.flatten().filter_map(inside).collect();
        all.sort();
        Ok(all)
    }

    fn has(&self, path: &str) -> bool {
        self.0.join(path).exists()
    }

    fn describe(&self, path: &str) -> Object {
        object(&self.0.join(path))
    }

    fn listing(&self, path: &str, deep: bool) -> Result<Vec<Value>, String> {
        let mut left = MOST_LISTED;
        listed(&self.0.join(path), deep, &mut left)
    }

    fn contents(&self, path: &str) -> Result<String, String> {
        let named = |e: Error| format!("{path}: {e}");
        let file = fs::File::open(self.0.join(path)).map_err(named)?;
        let mut bytes = Vec::new();
        let most = MOST_CONTENTS as u64;
        file.take(most).read_to_end(&mut bytes).map_err(named)?;
        String::from_utf8(bytes)
            .map_err(|e| format!("{path}: not text at byte {}", e.utf8_error().valid_up_to()))
    }
}

fn listed(dir: &Path, deep: bool, left: &mut usize) -> Result<Vec<Value>, String> {
    let named = |e: Error| format!("{}: {e}", dir.display());
    let mut paths = Vec::new();
    for entry in fs::read_dir(dir).map_err(named)? {
        paths.push(entry.map_err(named)?.path());
    }
    paths.sort();
    let mut out = Vec::new();
    for p in paths {
        *left = left
            .checked_sub(1)
            .ok_or_else(|| format!("{}: over {MOST_LISTED} entries", dir.display()))?;
        let mut o = object(&p);
        // Links are not followed: they may lead back.
        if deep && p.is_dir() && !p.is_symlink() {
            o.insert("listing".into(), listed(&p, deep, left)?.into());
        }
        out.push(Value::Object(o));
    }
    Ok(out)
}

/// A file or directory as expressions see it.
pub fn object(path: &Path) -> Object {
    let name = path.file_name().unwrap_or_default();
    let name = name.to_string_lossy().into_owned();
    let (root, ext) = match name.rfind('.').filter(|i| *i > 0) {
        Some(i) => (name[..i].to_string(), name[i..].to_string()),
        None => (name.clone(), String::new()),
    };
    let folder = path
        .parent()
        .unwrap_or(Path::new("/"))
        .display()
        .to_string();
    let meta = fs::metadata(path).ok();
    let directory = meta.as_ref().is_some_and(fs::Metadata::is_dir);
    let class = if directory { "Directory" } else { "File" };
    let v = json!({
        "class": class, "location": format!("file://{}", path.display()),
        "path": path.display().to_string(), "basename": name, "dirname": folder,
    });
    let Value::Object(mut o) = v else {
        return Object::new();
    };
    if !directory {
        o.insert("nameroot".into(), root.into());
        o.insert("nameext".into(), ext.into());
        o.insert("size".into(), meta.map_or(0, |m| m.len()).into());
    }
    o
}

/// Inputs with their files found: `path` or `location`, relative to `base`; files
/// written out by their `contents` stay as they are.
///
/// # Errors
/// A file is not there.
pub fn with_files(v: &Value, base: &Path) -> Result<Value, String> {
    let mut v = v.clone();
    each_file(&mut v, &mut |o| {
        let named = o.get("path").or_else(|| o.get("location"));
        let Some(named) = named.and_then(Value::as_str) else {
            if o.contains_key("contents") || o.contains_key("listing") {
                return Ok(());
            }
            return Err(format!("a {} needs path, location or contents", o["class"]));
        };
        let path = base.join(named.strip_prefix("file://").unwrap_or(named));
        let path = fs::canonicalize(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        for (k, v) in object(&path) {
            // A name that was given stays.
            if k != "basename" || !o.contains_key("basename") {
                o.insert(k, v);
            }
        }
        Ok(())
    })?;
    Ok(v)
}

/// A hash of a file's content; of a directory's, all of it.
///
/// # Errors
/// It cannot be read.
pub fn hash(path: &Path) -> Result<String, Error> {
    let mut hasher = blake3::Hasher::new();
    add(path, &mut hasher)?;
    Ok(hasher.finalize().to_hex().to_string())
}

fn add(path: &Path, hasher: &mut blake3::Hasher) -> Result<(), Error> {
    if !path.is_dir() {
        hasher.update(b"f");
        hasher.update_reader(fs::File::open(path)?)?;
        return Ok(());
    }
    hasher.update(b"d");
    let mut names = fs::read_dir(path)?
        .map(|e| Ok(e?.file_name()))
        .collect::<Result<Vec<_>, Error>>()?;
    names.sort();
    for n in names {
        hasher.update(n.as_encoded_bytes());
        hasher.update(b"\0");
        add(&path.join(&n), hasher)?;
    }
    Ok(())
}

/// The files of a value by path, each with its hash.
///
/// # Errors
/// One cannot be read.
pub fn hashes(v: &Value) -> Result<Vec<(String, String)>, String> {
    let mut out = Vec::new();
    let mut v = v.clone();
    each_file(&mut v, &mut |o| {
        if let Some(p) = o.get("path").and_then(Value::as_str) {
            let h = hash(Path::new(p)).map_err(|e| format!("{p}: {e}"))?;
            out.push((p.to_string(), h));
        }
        Ok(())
    })?;
    Ok(out)
}

/// Writes files that are only written out, so that outputs can be used.
///
/// # Errors
/// A file cannot be written.
pub fn written(v: &mut Value, dir: &Path) -> Result<(), String> {
    let mut n = 0;
    each_file(v, &mut |o| {
        let Some(text) = o.get("contents").and_then(Value::as_str) else {
            return Ok(());
        };
        if o.contains_key("path") {
            return Ok(());
        }
        n += 1;
        let name = o
            .get("basename")
            .and_then(Value::as_str)
            .unwrap_or("literal");
        let name = name.rsplit('/').next().unwrap_or("literal");
        let place = dir.join(format!("{n:04}"));
        let path = place.join(name);
        fs::create_dir_all(&place)
            .and_then(|()| fs::write(&path, text))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        for (k, v) in object(&path) {
            o.insert(k, v);
        }
        Ok(())
    })
}

/// Writes bytes whole: beside their place first, under a name of this writer's own
/// (two runners may write the same file).
///
/// # Errors
/// They cannot be written.
pub fn write_whole(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let beside = path.with_file_name(format!(".{name}.{}.part", std::process::id()));
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir)?;
    }
    let mut file = fs::File::create(&beside)?;
    std::io::Write::write_all(&mut file, bytes)?;
    file.sync_all()?;
    fs::rename(beside, path)
}

/// Reads a file of JSON, at most as large as a document.
///
/// # Errors
/// It cannot be read, or is no JSON of this form.
pub fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let mut bytes = Vec::new();
    let most = 16 * MOST_BYTES as u64;
    fs::File::open(path)?.take(most).read_to_end(&mut bytes)?;
    serde_json::from_slice(&bytes).map_err(Error::from)
}
