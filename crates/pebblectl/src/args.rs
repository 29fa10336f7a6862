//! The command line: verbs, flags and their help texts.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Run, watch and rehearse a pebblefold cluster.
///
/// Exit status: 0 done; 1 refused or failed; 2 bad input, nothing was done;
/// 3 a rehearsal broke a rule; 4 no controller could be reached.
#[derive(Parser, Debug)]
#[command(name = "pebblectl", version)]
pub struct Args {
    /// Settings file (TOML) with named clusters; overrides environment variables.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The cluster: a name from the settings, or an address.
    #[arg(long, global = true, value_name = "NAME")]
    pub cluster: Option<String>,
    /// How results are printed.
    #[arg(long, global = true, value_name = "FORM")]
    pub output: Option<OutputFormat>,
    /// The command to run.
    #[command(subcommand)]
    pub verb: Verb,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutputFormat {
    /// Plain-text tables, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// The commands of `pebblectl`.
#[derive(Subcommand, Debug)]
pub enum Verb {
    /// Starts a cluster on this machine: key-value store, simulated cloud,
    /// machines, and controllers on loopback.
    Up(Up),
    /// Runs a rehearsal script with real controllers and checks the outcome.
    Rehearse(Rehearse),
    /// Shows a running cluster's machines and jobs, refreshed every second.
    Top(Top),
    /// Submits a job, given as JSON in the format of the users' API.
    Submit {
        /// File that describes the job; `-` for standard input.
        job: PathBuf,
    },
    /// Shows a job's state.
    Status {
        /// The job's id.
        id: String,
    },
    /// Cancels a job.
    Cancel {
        /// The job's id.
        id: String,
    },
    /// Shows a controller's state: leader, machines, jobs, and why jobs wait.
    Inspect {
        /// Show only machines whose names begin with NAME.
        #[arg(long, value_name = "NAME", default_value = "")]
        machine: String,
        /// Show only jobs whose ids begin with ID.
        #[arg(long, value_name = "ID", default_value = "")]
        job: String,
    },
    /// Runs, saves and restores a key-value store on this machine.
    #[command(subcommand)]
    State(StateVerb),
    /// Checks, runs and shows CWL workflows.
    #[command(subcommand)]
    Workflow(WorkflowVerb),
    /// Shows the settings of this program.
    Config {
        /// `show`: prints every value and its source.
        #[arg(value_parser = ["show"])]
        what: String,
    },
    /// Prints the JSON schema of rehearsal scripts.
    Schema,
    /// Prints a completion script for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Writes a man page for the program and for each verb.
    Man {
        /// Directory for the pages; created if it does not exist.
        dir: PathBuf,
    },
    /// Runs one controller; `up` and `rehearse` start controllers this way.
    #[command(hide = true)]
    Controller {
        /// The controller's settings file.
        settings: PathBuf,
    },
}

/// Arguments of `up`.
#[derive(ClapArgs, Debug)]
pub struct Up {
    /// Rehearsal script that describes the cluster; a small built-in cluster
    /// otherwise.
    #[arg(long, value_name = "FILE")]
    pub script: Option<PathBuf>,
    /// Directory for the cluster's state and logs; running `up` again resumes from
    /// that state.
    #[arg(long, value_name = "DIR", default_value = "target/up")]
    pub dir: PathBuf,
    /// First port: users' address, then two for each controller, then the
    /// key-value store; 0: any free ports.
    #[arg(long, default_value_t = 7600)]
    pub port: u16,
    /// Submit this job, wait until it ends, then stop the cluster.
    #[arg(long, value_name = "FILE")]
    pub job: Option<PathBuf>,
}

fn parse_build(text: &str) -> Result<(String, PathBuf), String> {
    let (name, program) = text
        .split_once('=')
        .ok_or("expected NAME=PROGRAM, such as older=target/older/pebblefold")?;
    let program = PathBuf::from(program);
    if !program.is_file() {
        return Err(format!("{}: no such program", program.display()));
    }
    Ok((name.into(), program))
}

/// Arguments of `rehearse`.
#[derive(ClapArgs, Debug)]
pub struct Rehearse {
    /// The rehearsal script (TOML).
    pub file: PathBuf,
    /// Run in simulated time, with the controllers' code in this process.
    #[arg(long)]
    pub simulated: bool,
    /// Seed of the random numbers; overrides the script's seed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// In simulated time: run N consecutive seeds, beginning with the seed above.
    #[arg(long, default_value_t = 1, value_name = "N", requires = "simulated",
          value_parser = clap::value_parser!(u64).range(1..))]
    pub seeds: u64,
    /// Write the report of the last seed to FILE as one HTML page.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Controller program for a build that the script names; repeat for each build.
    #[arg(long = "build", value_name = "NAME=PROGRAM", value_parser = parse_build)]
    pub builds: Vec<(String, PathBuf)>,
    /// Keep settings, logs and state in DIR; otherwise a temporary directory, which
    /// is removed afterwards.
    #[arg(long, value_name = "DIR")]
    pub dir: Option<PathBuf>,
}

/// Arguments of `top`.
#[derive(ClapArgs, Debug)]
pub struct Top {
    /// Print the state once and exit.
    #[arg(long)]
    pub once: bool,
}

/// Verbs of the key-value store.
#[derive(Subcommand, Debug)]
pub enum StateVerb {
    /// Serves a key-value store until it is interrupted.
    Serve(Serve),
    /// Saves, restores and checks snapshots of the whole store.
    #[command(subcommand)]
    Snapshot(SnapshotVerb),
}

/// Arguments of `state serve`.
#[derive(ClapArgs, Debug)]
pub struct Serve {
    /// Directory of the store's file; created if it does not exist.
    #[arg(long, value_name = "DIR")]
    pub dir: PathBuf,
    /// Address for controllers' requests.
    #[arg(long, default_value = "127.0.0.1:2379")]
    pub listen: SocketAddrV4,
    /// Address for snapshot requests.
    #[arg(long, default_value = "127.0.0.1:2380")]
    pub admin: SocketAddrV4,
    /// Most requests per second, all clients together.
    #[arg(long, default_value_t = 250.0)]
    pub rps: f64,
    /// Most changes per second, all clients together.
    #[arg(long, default_value_t = 100.0)]
    pub write_rps: f64,
    /// Most kilobytes (1024 bytes) in one value.
    #[arg(long, default_value_t = 8)]
    pub value_kb: usize,
    /// Most changes in one transaction.
    #[arg(long, default_value_t = 48)]
    pub txn_ops: usize,
}

/// Verbs of snapshots.
#[derive(Subcommand, Debug)]
pub enum SnapshotVerb {
    /// Saves the whole store to a file while the store keeps serving.
    Save {
        /// The store's address for snapshot requests.
        #[arg(long, default_value = "127.0.0.1:2380")]
        admin: SocketAddrV4,
        /// The snapshot file, on the store's machine.
        file: PathBuf,
    },
    /// Restores a snapshot file into a new store.
    Restore {
        /// The snapshot file.
        file: PathBuf,
        /// Directory for the new store; it must not hold a store yet.
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
    },
    /// Reads a whole snapshot file and prints what it contains.
    Check {
        /// The snapshot file.
        file: PathBuf,
    },
}

/// Verbs of workflows.
#[derive(Subcommand, Debug)]
pub enum WorkflowVerb {
    /// Reads CWL documents completely and prints their problems.
    Check {
        /// The documents; `file.cwl#main` selects a process of a packed document.
        #[arg(required = true)]
        files: Vec<String>,
    },
    /// Runs a workflow on a cluster that `up` has started, or resumes one that was
    /// begun; prints the outputs on standard output.
    Run(WorkflowRun),
    /// Resumes a workflow with the settings it was begun with.
    Resume {
        /// The `--name` that the workflow was run under.
        name: String,
        /// Resume the workflow although it failed: finished steps stay done, failed
        /// steps are run again.
        #[arg(long)]
        again: bool,
        #[command(flatten)]
        work: WorkArgs,
    },
    /// Shows a workflow's progress, step by step.
    Status {
        /// The `--name` that the workflow was run under.
        name: String,
        #[command(flatten)]
        work: WorkArgs,
    },
    /// Cancels a workflow with all its jobs. Safe to repeat.
    Cancel {
        /// The `--name` that the workflow was run under.
        name: String,
        #[command(flatten)]
        work: WorkArgs,
    },
    /// Prints who ran which step, on which inputs, in which job, where and when
    /// (JSON).
    Provenance {
        /// The `--name` that the workflow was run under.
        name: String,
        #[command(flatten)]
        work: WorkArgs,
    },
    /// Draws a workflow's steps and links: DOT on standard output, or SVG.
    Graph {
        /// The workflow's document.
        file: String,
        /// Write an SVG picture to FILE instead.
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
}

/// A workflow's directory and user.
#[derive(ClapArgs, Debug)]
pub struct WorkArgs {
    /// Directory for workflows' files, shared by all machines.
    #[arg(long = "work", value_name = "DIR", default_value = "target/flows")]
    pub dir: PathBuf,
    /// User recorded as the requester; the logged-in user otherwise.
    #[arg(long, env = "PEBBLECTL_USER", value_name = "NAME")]
    pub user: Option<String>,
}

/// Arguments of `workflow run`.
#[derive(ClapArgs, Debug)]
pub struct WorkflowRun {
    /// The workflow's document.
    pub file: String,
    /// File with the workflow's inputs (YAML or JSON); no inputs otherwise.
    pub inputs: Option<PathBuf>,
    /// The workflow's name; running again under the same name resumes it.
    #[arg(long)]
    pub name: String,
    /// Template of every step's job, in the format of the users' API: team, class,
    /// priority, resource amounts. A step may request less, never more.
    #[arg(long, value_name = "FILE")]
    pub job: PathBuf,
    /// Another class that steps may name; may be repeated.
    #[arg(long = "class", value_name = "CLASS")]
    pub classes: Vec<String>,
    #[command(flatten)]
    pub work: WorkArgs,
    /// Most steps that run at the same time.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..))]
    pub at_once: u16,
    /// When to retry a step that sets no rule of its own: `never` once the step may
    /// have been started; `if-not-started`; `on-failure N` (or N), after the step's
    /// machine was lost, and up to N times after a failing exit.
    #[arg(long, default_value = "0")]
    pub retry: pebblefold_workflow::needs::Retry,
    /// Cache of finished steps: reuse results of the same tools on the same inputs
    /// from DIR, and add finished steps to DIR.
    #[arg(long, value_name = "DIR")]
    pub cache: Option<PathBuf>,
}
