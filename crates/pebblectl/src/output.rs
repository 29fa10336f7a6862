//! How results are printed, and failures with their exit statuses.

use crate::args::OutputFormat;
use comfy_table::Table;
use pebblefold_wire::users::JobStatus;
use serde::Serialize;
use serde_json::Value;
use std::path::Path;

/// Why a verb failed. The variant determines the exit status; the text is printed
/// to standard error.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The request was refused or failed: exit status 1.
    #[error("{0}")]
    Failed(String),
    /// Bad input, nothing was done: exit status 2.
    #[error("{0}")]
    Input(String),
    /// A rehearsal broke a rule: exit status 3.
    #[error("{0}")]
    Rule(String),
    /// No controller, or no key-value store, could be reached: exit status 4.
    #[error("{0}")]
    Unreachable(String),
}

impl Failure {
    /// A failure of the requested work.
    pub fn failed(e: impl std::fmt::Display) -> Failure {
        Failure::Failed(e.to_string())
    }
    /// An error in the user's input.
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
    /// The failure's text, split into lines.
    pub fn lines(&self) -> Vec<String> {
        self.to_string().lines().map(String::from).collect()
    }
}

/// Indented JSON.
pub fn pretty<T: Serialize>(v: &T) -> String {
    serde_json::to_string_pretty(v).unwrap_or_default()
}

fn format_cell(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        Value::Array(a) => a.iter().map(format_cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Prints results in the selected output format.
pub struct Printer(OutputFormat);

impl Printer {
    /// A printer for one output format.
    pub fn new(format: OutputFormat) -> Printer {
        Printer(format)
    }

    /// Whether the output format is JSON.
    pub fn json(&self) -> bool {
        self.0 == OutputFormat::Json
    }

    /// Prints a job's state.
    pub fn print_job(&self, a: &JobStatus) -> Result<(), Failure> {
        if self.json() {
            println!("{}", pretty(a));
            return Ok(());
        }
        let count = |n: Option<u32>| n.map_or("-".into(), |n| n.to_string());
        let stage = serde_json::to_value(a.stage).unwrap_or_default();
        println!(
            "{}",
            format_table(
                &["job", "stage", "done", "running"],
                &[vec![
                    a.id.to_string(),
                    format_cell(&stage),
                    count(a.done),
                    count(a.running)
                ]],
            )
        );
        Ok(())
    }

    /// Prints any value: as a table of its fields if the format is a table and no field
    /// is an object, as JSON otherwise.
    pub fn print_value<T: Serialize>(&self, v: &T) -> Result<(), Failure> {
        let value = serde_json::to_value(v).unwrap_or_default();
        match (&value, self.json()) {
            (Value::Object(fields), false) if fields.values().all(|v| !v.is_object()) => {
                let cells: Vec<Vec<String>> = fields
                    .iter()
                    .map(|(k, v)| vec![k.clone(), format_cell(v)])
                    .collect();
                println!("{}", format_table(&["field", "value"], &cells));
            }
            _ => println!("{}", pretty(&value)),
        }
        Ok(())
    }

    /// Prints a list of objects with the same fields; the first one names the columns.
    pub fn print_table(&self, list: &[Value]) -> Result<(), Failure> {
        if self.json() {
            println!("{}", pretty(&list));
            return Ok(());
        }
        let names: Vec<String> = list
            .first()
            .and_then(Value::as_object)
            .map(|o| o.keys().cloned().collect())
            .unwrap_or_default();
        let headings: Vec<&str> = names.iter().map(String::as_str).collect();
        let cells: Vec<Vec<String>> = list
            .iter()
            .map(|v| names.iter().map(|n| format_cell(&v[n])).collect())
            .collect();
        println!("{}", format_table(&headings, &cells));
        Ok(())
    }
}

/// Formats a table without frames, with upper-case headings.
pub fn format_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::NOTHING);
    table.set_header(headings.iter().map(|h| h.to_uppercase()));
    table.add_rows(rows);
    table.trim_fmt()
}

/// Writes a man page for the program and each verb into `dir`, which is created.
pub fn man_pages(command: clap::Command, dir: &Path) -> Result<(), Failure> {
    std::fs::create_dir_all(dir)
        .and_then(|()| clap_mangen::generate_to(command, dir))
        .map_err(|e| Failure::Failed(format!("{}: {e}", dir.display())))
}
