//! The command line.

use crate::driver;
use crate::http;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::wire;
use clap::{Parser, Subcommand};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A fault-tolerant cluster scheduler that places work next to its images.
///
/// Without a command it serves, as one controller node.
#[derive(Parser, Debug)]
#[command(name = "pebblefold", version, args_conflicts_with_subcommands = true)]
struct Args {
    /// Settings file (JSON) handed over by the platform.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Policy script (Lua); the built-in one otherwise.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Verb>,
}

#[derive(Subcommand, Debug)]
enum Verb {
    /// Checks settings and policy and prints the policy in force.
    Check {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Policy script (Lua).
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Submits a job, given as JSON in the platform's form.
    Submit {
        /// Address of a node's users' interface.
        #[arg(long, value_name = "ADDR")]
        node: SocketAddr,
        /// File with the job; `-` for standard input.
        job: PathBuf,
    },
    /// Shows a job's state.
    Status {
        /// Address of a node's users' interface.
        #[arg(long, value_name = "ADDR")]
        node: SocketAddr,
        /// The job's id.
        id: String,
    },
    /// Cancels a job.
    Cancel {
        /// Address of a node's users' interface.
        #[arg(long, value_name = "ADDR")]
        node: SocketAddr,
        /// The job's id.
        id: String,
    },
    /// Shows what a node knows: who leads, machines, jobs, why they wait.
    Inspect {
        /// Address of a node's internal interface.
        #[arg(long, value_name = "ADDR")]
        node: SocketAddr,
        /// Only machines whose names begin like this.
        #[arg(long, value_name = "NAME", default_value = "")]
        machine: String,
        /// Only jobs whose ids begin like this.
        #[arg(long, value_name = "ID", default_value = "")]
        job: String,
    },
}

/// Exit status for settings or policy that cannot be used.
const BAD_INPUT: u8 = 2;

fn fail(status: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("pebblefold: {message}");
    ExitCode::from(status)
}

fn load(config: &Path, policy: Option<&Path>) -> Result<(Settings, Policy), String> {
    let settings = Settings::load(config).map_err(|e| e.to_string())?;
    let policy = Policy::load(policy, &settings).map_err(|e| e.to_string())?;
    Ok((settings, policy))
}

fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("warn") => tracing::Level::WARN,
        Ok("debug") => tracing::Level::DEBUG,
        Ok("trace") => tracing::Level::TRACE,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
}

fn ask(node: SocketAddr, method: &str, path: &str, body: &[u8]) -> Result<http::Response, String> {
    let patience = Duration::from_secs(10);
    let told = |e: std::io::Error| format!("{node}: {e}");
    let mut stream = TcpStream::connect_timeout(&node, patience).map_err(told)?;
    stream.set_read_timeout(Some(patience)).map_err(told)?;
    stream
        .write_all(&http::write_request(method, &node.to_string(), path, body))
        .map_err(told)?;
    let mut data = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let n = stream.read(&mut buffer).map_err(told)?;
        data.extend_from_slice(&buffer[..n]);
        match http::read_response(&data, n == 0) {
            Ok(Some((r, _))) => return Ok(r),
            Ok(None) if n > 0 => {}
            Ok(None) => return Err(format!("{node}: the connection was closed")),
            Err(e) => return Err(format!("{node}: {e}")),
        }
    }
}

fn show(answer: Result<http::Response, String>) -> ExitCode {
    match answer {
        Err(e) => fail(1, e),
        Ok(r) => {
            let value: serde_json::Value = wire::decode(&r.body).unwrap_or_default();
            let text = serde_json::to_string_pretty(&value).unwrap_or_default();
            if (200..300).contains(&r.status) {
                println!("{text}");
                ExitCode::SUCCESS
            } else {
                let again = r
                    .retry_after
                    .map_or(String::new(), |s| format!(", try again in {s} s"));
                let reason = value["error"].as_str().unwrap_or("refused");
                fail(1, format!("{} {reason}{again}", r.status))
            }
        }
    }
}

fn submit(node: SocketAddr, job: &Path) -> ExitCode {
    let text = if job == Path::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        std::fs::read_to_string(job)
    };
    let value: serde_json::Value = match text.map(|t| serde_json::from_str(&t)) {
        Ok(Ok(v)) => v,
        Ok(Err(e)) => return fail(BAD_INPUT, format!("{}: {e}", job.display())),
        Err(e) => return fail(BAD_INPUT, format!("{}: {e}", job.display())),
    };
    show(ask(node, "POST", "/submissions", &wire::encode(&value)))
}

/// Runs the program.
pub fn run() -> ExitCode {
    let args = Args::parse();
    match args.command {
        None => {
            let Some(config) = args.config else {
                return fail(BAD_INPUT, "--config FILE is needed to serve; see --help");
            };
            match load(&config, args.policy.as_deref()) {
                Err(e) => fail(BAD_INPUT, e),
                Ok((settings, policy)) => {
                    start_logging();
                    match driver::serve(settings, policy) {
                        Ok(()) => ExitCode::SUCCESS,
                        Err(e) => fail(1, e),
                    }
                }
            }
        }
        Some(Verb::Check { config, policy }) => match load(&config, policy.as_deref()) {
            Err(e) => fail(BAD_INPUT, e),
            Ok((settings, policy)) => {
                let hold = settings.hold_without_contact();
                println!(
                    "{}",
                    serde_json::json!({
                        "node": settings.label,
                        "answers_without_contact_s": hold.map(|h| h.as_secs()),
                        "policy": policy,
                    })
                );
                ExitCode::SUCCESS
            }
        },
        Some(Verb::Submit { node, job }) => submit(node, &job),
        Some(Verb::Status { node, id }) => {
            show(ask(node, "GET", &format!("/submissions/{id}"), &[]))
        }
        Some(Verb::Cancel { node, id }) => {
            let path = format!("/submissions/{id}/cancel");
            show(ask(node, "POST", &path, &[]))
        }
        Some(Verb::Inspect { node, machine, job }) => {
            let path = format!("/inspect?machine={machine}&job={job}");
            show(ask(node, "GET", &path, &[]))
        }
    }
}
