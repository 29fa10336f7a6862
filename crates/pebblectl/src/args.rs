//! The command line.

use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Run, watch and rehearse a pebblefold cluster.
///
/// Exit status: 0 done; 1 refused or failed; 2 bad input, nothing was done;
/// 3 a rehearsal broke a rule; 4 no node could be reached.
#[derive(Parser, Debug)]
#[command(name = "pebblectl", version)]
pub struct Args {
    /// Settings file (TOML) with named clusters; goes before the environment.
    #[arg(long, global = true, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The cluster, by its name in the settings or as an address.
    #[arg(long, global = true, value_name = "NAME")]
    pub cluster: Option<String>,
    /// How answers are printed.
    #[arg(long, global = true, value_name = "FORM")]
    pub output: Option<Form>,
    /// What to do.
    #[command(subcommand)]
    pub verb: Verb,
}

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// Verbs.
#[derive(Subcommand, Debug)]
pub enum Verb {
    /// Starts a cluster on this machine: state service, cloud, machines and
    /// controllers on loopback.
    Up(Up),
    /// Plays a rehearsal script with real controllers and judges it.
    Rehearse(Rehearse),
    /// Shows a running cluster.
    Top(Top),
    /// Submits a job, given as JSON in the users' form.
    Submit {
        /// File with the job; `-` for standard input.
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
    /// Shows what a node knows: who leads, machines, jobs, why they wait.
    Inspect {
        /// Only machines whose names begin like this.
        #[arg(long, value_name = "NAME", default_value = "")]
        machine: String,
        /// Only jobs whose ids begin like this.
        #[arg(long, value_name = "ID", default_value = "")]
        job: String,
    },
    /// The state service for one machine.
    #[command(subcommand)]
    State(StateVerb),
    /// CWL workflows.
    #[command(subcommand)]
    Workflow(WorkflowVerb),
    /// Settings of this program.
    Config {
        /// `show`: every value and where it comes from.
        #[arg(value_parser = ["show"])]
        what: String,
    },
    /// Prints the schema of rehearsal scripts (JSON).
    Schema,
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Writes man pages.
    Man {
        /// Where to.
        dir: PathBuf,
    },
    /// Serves as one controller; `up` and `rehearse` start these.
    #[command(hide = true)]
    Controller {
        /// Settings file.
        settings: PathBuf,
    },
}

/// Arguments of `up`.
#[derive(ClapArgs, Debug)]
pub struct Up {
    /// Cluster to start, as in a rehearsal script; a small one otherwise.
    #[arg(long, value_name = "FILE")]
    pub script: Option<PathBuf>,
    /// Where it keeps its state; `up` again goes on from there.
    #[arg(long, value_name = "DIR", default_value = "target/up")]
    pub dir: PathBuf,
    /// First port: users' front door, then two for each controller; 0: any.
    #[arg(long, default_value_t = 7600)]
    pub port: u16,
    /// Submit this job, wait for its end, and end.
    #[arg(long, value_name = "FILE")]
    pub job: Option<PathBuf>,
}

fn named_program(text: &str) -> Result<(String, PathBuf), String> {
    let (name, program) = text
        .split_once('=')
        .ok_or("give it as NAME=PROGRAM, such as older=target/older/pebblefold")?;
    let program = PathBuf::from(program);
    if !program.is_file() {
        return Err(format!("{}: no such program", program.display()));
    }
    Ok((name.into(), program))
}

/// Arguments of `rehearse`.
#[derive(ClapArgs, Debug)]
pub struct Rehearse {
    /// The script (TOML).
    pub file: PathBuf,
    /// In simulated time, with the controllers' code in this process.
    #[arg(long)]
    pub simulated: bool,
    /// The seed instead of the script's own.
    #[arg(long)]
    pub seed: Option<u64>,
    /// In simulated time: so many seeds from there on.
    #[arg(long, default_value_t = 1, value_name = "N", requires = "simulated",
          value_parser = clap::value_parser!(u64).range(1..))]
    pub seeds: u64,
    /// Write the report of the last seed as one HTML page.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// The daemon of another build that the script names; once for each.
    #[arg(long = "build", value_name = "NAME=PROGRAM", value_parser = named_program)]
    pub builds: Vec<(String, PathBuf)>,
    /// Keep settings, logs and state there; a directory that is removed
    /// afterwards otherwise.
    #[arg(long, value_name = "DIR")]
    pub dir: Option<PathBuf>,
}

/// Arguments of `top`.
#[derive(ClapArgs, Debug)]
pub struct Top {
    /// Print once and end.
    #[arg(long)]
    pub once: bool,
}

/// Verbs of the state service.
#[derive(Subcommand, Debug)]
pub enum StateVerb {
    /// Serves.
    Serve(Serve),
    /// Saves and restores everything.
    #[command(subcommand)]
    Snapshot(SnapshotVerb),
}

/// Arguments of `state serve`.
#[derive(ClapArgs, Debug)]
pub struct Serve {
    /// Where the store is kept.
    #[arg(long, value_name = "DIR")]
    pub dir: PathBuf,
    /// Where controllers reach it.
    #[arg(long, default_value = "127.0.0.1:2379")]
    pub listen: SocketAddrV4,
    /// Where snapshots are asked for.
    #[arg(long, default_value = "127.0.0.1:2380")]
    pub admin: SocketAddrV4,
    /// Requests a second, all nodes together.
    #[arg(long, default_value_t = 250.0)]
    pub rps: f64,
    /// Changes a second, all nodes together.
    #[arg(long, default_value_t = 100.0)]
    pub write_rps: f64,
    /// Kilobytes of one value.
    #[arg(long, default_value_t = 8)]
    pub value_kb: usize,
    /// Changes in one transaction.
    #[arg(long, default_value_t = 48)]
    pub txn_ops: usize,
}

/// Verbs of snapshots.
#[derive(Subcommand, Debug)]
pub enum SnapshotVerb {
    /// Saves everything to a file, while it serves.
    Save {
        /// The state service's admin address.
        #[arg(long, default_value = "127.0.0.1:2380")]
        admin: SocketAddrV4,
        /// The file, on the state service's machine.
        file: PathBuf,
    },
    /// Restores a file into a new store.
    Restore {
        /// The file.
        file: PathBuf,
        /// Where the store goes; there must be none.
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
    },
    /// Reads a file whole and says what it holds.
    Check {
        /// The file.
        file: PathBuf,
    },
}

/// Verbs of workflows.
#[derive(Subcommand, Debug)]
pub enum WorkflowVerb {
    /// Reads documents whole and says what is wrong with them.
    Check {
        /// The documents; `file.cwl#main` names a process of a packed one.
        #[arg(required = true)]
        files: Vec<String>,
    },
    /// Runs a workflow on a cluster that `up` has started, or goes on with one
    /// that was begun: outputs on standard output.
    Run(WorkflowRun),
    /// Goes on with a workflow as it was begun.
    Resume {
        /// The `--name` that it was run under.
        name: String,
        /// Take it up again although it failed: what is done stays, what failed is
        /// run anew.
        #[arg(long)]
        again: bool,
        #[command(flatten)]
        work: Work,
    },
    /// Shows how far a workflow is, step by step.
    Status {
        /// The `--name` that it was run under.
        name: String,
        #[command(flatten)]
        work: Work,
    },
    /// Cancels a workflow with all its jobs. Safe to repeat.
    Cancel {
        /// The `--name` that it was run under.
        name: String,
        #[command(flatten)]
        work: Work,
    },
    /// Prints who ran what, of which inputs, by which job, where and when (JSON).
    Provenance {
        /// The `--name` that it was run under.
        name: String,
        #[command(flatten)]
        work: Work,
    },
    /// Draws steps and links: DOT on standard output, or SVG.
    Graph {
        /// The workflow.
        file: String,
        /// Write a picture there instead.
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
}

/// Where workflows' files are.
#[derive(ClapArgs, Debug)]
pub struct Work {
    /// A directory that all machines share.
    #[arg(long = "work", value_name = "DIR", default_value = "target/flows")]
    pub dir: PathBuf,
    /// Who is recorded to have asked.
    #[arg(long, env = "PEBBLECTL_USER", value_name = "NAME")]
    pub user: Option<String>,
}

/// Arguments of `workflow run`.
#[derive(ClapArgs, Debug)]
pub struct WorkflowRun {
    /// The workflow.
    pub file: String,
    /// Its inputs (YAML or JSON); none without.
    pub inputs: Option<PathBuf>,
    /// Its name; the same name goes on with the same workflow.
    #[arg(long)]
    pub name: String,
    /// What every step's job begins from, in the users' form: team, class,
    /// priority, amounts. A step may ask for less, never for more.
    #[arg(long, value_name = "FILE")]
    pub job: PathBuf,
    /// Another class that steps may name; may be repeated.
    #[arg(long = "class", value_name = "CLASS")]
    pub classes: Vec<String>,
    #[command(flatten)]
    pub work: Work,
    /// Steps at once.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u16).range(1..))]
    pub at_once: u16,
    /// When a step may be run again, where it does not say so: `never` once it may
    /// have been started; `if-not-started`; `on-failure N` (or N), after its machine
    /// was lost and after a failing exit so many times.
    #[arg(long, default_value = "0")]
    pub retry: pebblefold_workflow::needs::Retry,
    /// Use finished steps of the same tools on the same inputs again, and keep
    /// finished steps there.
    #[arg(long, value_name = "DIR")]
    pub cache: Option<PathBuf>,
}
