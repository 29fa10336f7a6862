//! Finished steps used again: by a hash of the tool, its inputs and what is in
//! their files. What is found is used only if its outputs are still what they were.

use crate::engine::{Object, Task};
use crate::files::{hashes, read_json, write_whole};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// A cache in a directory that all runners share.
#[derive(Clone, Debug)]
pub struct Cache(pub PathBuf);

/// What is kept of a finished step.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    outputs: Object,
    /// Hashes of the files in them, by path.
    files: BTreeMap<String, String>,
    /// The job that made them.
    job: String,
}

impl Cache {
    /// The key of a task: the same tool on the same inputs has the same one,
    /// wherever its files stand.
    ///
    /// # Errors
    /// A file cannot be read.
    pub fn key(task: &Task, inputs: &Object) -> Result<String, String> {
        let mut v = Value::Object(inputs.clone());
        let found: BTreeMap<String, String> = hashes(&v)?.into_iter().collect();
        crate::tool::each_file(&mut v, &mut |o| {
            let path = o.get("path").and_then(Value::as_str).unwrap_or_default();
            let content = found.get(path).cloned();
            for place in ["path", "location", "dirname"] {
                o.remove(place);
            }
            if let Some(c) = content {
                o.insert("hash".into(), c.into());
            }
            Ok(())
        })?;
        let mut hash = blake3::Hasher::new();
        hash.update(task.tool.hash.as_bytes());
        hash.update(b"\0");
        hash.update(canonical(&v).to_string().as_bytes());
        Ok(hash.finalize().to_hex().to_string())
    }

    fn file(&self, key: &str) -> PathBuf {
        self.0.join(&key[..2]).join(format!("{key}.json"))
    }

    /// What is kept under a key, with the job that made it; nothing if a file of
    /// it is gone or has changed.
    pub fn get(&self, key: &str) -> Option<(Object, String)> {
        let kept: Kept = read_json(&self.file(key)).ok()?;
        let now: BTreeMap<String, String> = hashes(&Value::Object(kept.outputs.clone()))
            .ok()?
            .into_iter()
            .collect();
        (now == kept.files).then_some((kept.outputs, kept.job))
    }

    /// Keeps a finished step.
    ///
    /// # Errors
    /// It cannot be written, or an output cannot be read.
    pub fn keep(&self, key: &str, outputs: &Object, job: &str) -> Result<(), String> {
        let files = hashes(&Value::Object(outputs.clone()))?;
        let kept = Kept {
            outputs: outputs.clone(),
            files: files.into_iter().collect(),
            job: job.into(),
        };
        let bytes = serde_json::to_vec(&kept).map_err(|e| e.to_string())?;
        let path = self.file(key);
        write_whole(&path, &bytes).map_err(|e| format!("{}: {e}", path.display()))
    }
}

/// Fields in the order of their names: inputs may be written in any.
fn canonical(v: &Value) -> Value {
    match v {
        Value::Array(l) => l.iter().map(canonical).collect(),
        Value::Object(o) => {
            let sorted: BTreeMap<&String, &Value> = o.iter().collect();
            let fields = sorted.into_iter().map(|(k, v)| (k.clone(), canonical(v)));
            Value::Object(fields.collect())
        }
        other => other.clone(),
    }
}
