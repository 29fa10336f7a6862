//! How answers and failures look.

use crate::args::Form;
use comfy_table::Table;
use pebblefold_wire::users::JobStatus;
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// Why a verb failed, and the exit status that goes with it.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Refused or failed: 1.
    #[error("{0}")]
    Failed(String),
    /// Bad input, nothing was done: 2.
    #[error("{0}")]
    Input(String),
    /// A rehearsal broke a rule: 3.
    #[error("{0}")]
    Rule(String),
    /// No node could be reached: 4.
    #[error("{0}")]
    Unreachable(String),
}

impl Failure {
    /// A failure of the work itself.
    pub fn failed(e: impl std::fmt::Display) -> Failure {
        Failure::Failed(e.to_string())
    }
    /// A fault of what was given.
    pub fn input(e: impl std::fmt::Display) -> Failure {
        Failure::Input(e.to_string())
    }
    /// The exit status.
    pub fn status(&self) -> u8 {
        match self {
            Failure::Failed(_) => 1,
            Failure::Input(_) => 2,
            Failure::Rule(_) => 3,
            Failure::Unreachable(_) => 4,
        }
    }
    /// Its text, a line each.
    pub fn lines(&self) -> Vec<String> {
        self.to_string().lines().map(String::from).collect()
    }
}

/// JSON for people.
pub fn pretty<T: Serialize>(v: &T) -> String {
    serde_json::to_string_pretty(v).unwrap_or_default()
}

fn cell(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Array(a) => a.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Prints answers in the form that was asked for.
pub struct Show(Form);

impl Show {
    /// In this form.
    pub fn new(form: Form) -> Show {
        Show(form)
    }

    /// Whether programs read it.
    pub fn json(&self) -> bool {
        self.0 == Form::Json
    }

    /// A job's state.
    pub fn job(&self, a: &JobStatus) -> Result<(), Failure> {
        if self.json() {
            println!("{}", pretty(a));
            return Ok(());
        }
        let count = |n: Option<u32>| n.map_or("-".into(), |n| n.to_string());
        let stage = serde_json::to_value(a.stage).unwrap_or_default();
        println!(
            "{}",
            rows(
                &["job", "stage", "done", "running"],
                &[vec![
                    a.id.to_string(),
                    cell(&stage),
                    count(a.done),
                    count(a.running)
                ]],
            )
        );
        Ok(())
    }

    /// Anything: its fields as rows, or JSON.
    pub fn any<T: Serialize>(&self, v: &T) -> Result<(), Failure> {
        let value = serde_json::to_value(v).unwrap_or_default();
        match (&value, self.json()) {
            (Value::Object(fields), false) if fields.values().all(|v| !v.is_object()) => {
                let all: Vec<Vec<String>> = fields
                    .iter()
                    .map(|(k, v)| vec![k.clone(), cell(v)])
                    .collect();
                println!("{}", rows(&["field", "value"], &all));
            }
            _ => println!("{}", pretty(&value)),
        }
        Ok(())
    }

    /// A list of things with the same fields.
    pub fn any_table(&self, list: &[Value]) -> Result<(), Failure> {
        if self.json() {
            println!("{}", pretty(&list));
            return Ok(());
        }
        let names: Vec<String> = list
            .first()
            .and_then(Value::as_object)
            .map(|o| o.keys().cloned().collect())
            .unwrap_or_default();
        let heads: Vec<&str> = names.iter().map(String::as_str).collect();
        let all: Vec<Vec<String>> = list
            .iter()
            .map(|v| names.iter().map(|n| cell(&v[n])).collect())
            .collect();
        println!("{}", rows(&heads, &all));
        Ok(())
    }
}

/// A table without frames.
pub fn rows(heads: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(heads.iter().map(|h| h.to_uppercase()));
    table.add_rows(rows);
    table.trim_fmt()
}

/// Writes a man page for the program and each verb.
pub fn man_pages(command: clap::Command, dir: &Path) -> Result<(), Failure> {
    std::fs::create_dir_all(dir)
        .and_then(|()| clap_mangen::generate_to(command, dir))
        .map_err(|e| Failure::Failed(format!("{}: {e}", dir.display())))
}
