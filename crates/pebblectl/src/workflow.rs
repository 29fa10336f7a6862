//! CWL workflows.

use crate::output::{Failure, Show, pretty};
use pebblefold_workflow::load::{Disk, load};
use pebblefold_workflow::problem::Weight;
use serde_json::{Value, json};

/// Reads documents whole and says what is wrong with them.
pub fn check(files: &[String], show: &Show) -> Result<(), Failure> {
    let mut told: Vec<Value> = Vec::new();
    let mut bad = 0;
    for file in files {
        let loaded = load(&Disk, file);
        bad += usize::from(!loaded.valid);
        for p in &loaded.problems {
            if show.json() {
                let weight = match p.weight {
                    Weight::Error => "error",
                    Weight::Note => "note",
                };
                told.push(json!({
                    "file": &*p.file, "line": p.at.line, "column": p.at.column,
                    "weight": weight, "text": p.text,
                }));
            } else {
                println!("{p}");
            }
        }
        if loaded.more > 0 && !show.json() {
            println!("{file}: and {} more", loaded.more);
        }
        if loaded.valid && !show.json() {
            println!("{file}: valid");
        }
    }
    if show.json() {
        println!("{}", pretty(&told));
    }
    if bad > 0 {
        return Err(Failure::Input(format!(
            "{bad} of {} documents cannot be used",
            files.len()
        )));
    }
    Ok(())
}
