//! Rehearsal scripts: a cluster, the jobs of a day and what goes wrong, in one
//! TOML file. The schema is made from the types here; `Script::parse` names the
//! line and the field of what it refuses.

mod check;
mod cluster;
mod faults;
mod jobs;

pub use cluster::{
    Aim, CloudLimits, Cluster, Kind, Machines, NextStateLimits, StateLimits, Team, Workers,
};
pub use faults::{CutMode, Fault, LastWrite, Moment, Nodes, PowerLoss, Side, What, When};
pub use jobs::{JobPriority, JobShape, Jobs, Spread};

use check::{line_of, name_of};
use pebblefold_controller::types::TimeSpan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What is wrong with a script.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// It is not TOML, or not a script: the text names line, column and field.
    #[error("{file}: {text}")]
    Form {
        /// The file.
        file: String,
        /// Where and what, as the parser tells it.
        text: String,
    },
    /// A value cannot be used.
    #[error("{file}, line {line}: {field}: {reason}")]
    Value {
        /// The file.
        file: String,
        /// The line, from 1.
        line: usize,
        /// The field's path.
        field: String,
        /// What is wrong, and what would be right.
        reason: String,
    },
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// What it is for.
    #[serde(default)]
    pub about: String,
    /// Fixes everything that is left to chance, in simulated time.
    #[serde(default)]
    pub seed: u64,
    /// Seconds after which it ends, whatever is still unfinished.
    pub length_s: f64,
    /// Other builds of the controllers' program than this one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub builds: Vec<Build>,
    /// Machines, controllers and services.
    pub cluster: Cluster,
    /// Jobs, by class.
    #[serde(default)]
    pub jobs: Vec<Jobs>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Another build of the controllers' program. On loopback its program is named on the
/// command line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Build {
    /// Its name.
    pub name: String,
    /// In simulated time: the oldest and the newest level that it serves; none: it
    /// knows no levels.
    #[serde(default)]
    pub levels: Option<(u32, u32)>,
}

impl Script {
    /// The schema of scripts, for editors and other programs.
    pub fn schema() -> serde_json::Value {
        serde_json::to_value(schemars::schema_for!(Script)).unwrap_or_default()
    }

    /// Reads a script from a file.
    ///
    /// # Errors
    /// The file cannot be read, or see [`Script::parse`].
    pub fn load(path: &Path) -> Result<Script, Vec<ScriptError>> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Script::parse(&name, &text),
            Err(e) => Err(vec![ScriptError::Read(name, e)]),
        }
    }

    /// Reads a script and checks it.
    ///
    /// # Errors
    /// Everything that is wrong with its values, each with line and field, or
    /// the first thing that makes it no script at all.
    pub fn parse(file: &str, text: &str) -> Result<Script, Vec<ScriptError>> {
        let form = |text: String| {
            vec![ScriptError::Form {
                file: file.into(),
                text: text.trim_end().into(),
            }]
        };
        let script: Script = toml::from_str(text).map_err(|e| form(e.to_string()))?;
        let problems = script.problems();
        if problems.is_empty() {
            return Ok(script);
        }
        let document = toml_edit::Document::parse(text).map_err(|e| form(e.to_string()))?;
        Err(problems
            .into_iter()
            .map(|problem| ScriptError::Value {
                file: file.into(),
                line: line_of(&document, text, &problem.path),
                field: name_of(&problem.path),
                reason: problem.reason,
            })
            .collect())
    }

    /// The number of a build by its name; none: this one.
    pub fn build(&self, name: Option<&str>) -> Option<usize> {
        let name = name?;
        self.builds.iter().position(|b| b.name == name)
    }

    /// When it ends.
    pub fn length(&self) -> TimeSpan {
        TimeSpan::secs(self.length_s)
    }
}
