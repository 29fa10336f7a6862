//! The daemon's command line. What people use is `pebblectl`.

use crate::core::leader_authority::AuthorityBounds;
use crate::policy::{Policy, PolicyError};
use crate::settings::{Settings, SettingsError};
use crate::{driver, logging};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

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
    command: Option<DaemonCommand>,
}

#[derive(Subcommand, Debug)]
enum DaemonCommand {
    /// Checks settings and policy and prints the policy in force.
    Check {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Policy script (Lua).
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
}

/// Exit status for settings or policy that cannot be used.
const BAD_INPUT: u8 = 2;
/// Exit status for a listener that cannot be opened.
const CANNOT_LISTEN: u8 = 1;

fn fail(status: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("pebblefold: {message}");
    ExitCode::from(status)
}

/// Why settings or policy cannot be used; the text names the field.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The settings file.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy script.
    #[error(transparent)]
    Policy(#[from] PolicyError),
}

fn load(config: &Path, policy: Option<&Path>) -> Result<(Settings, Policy), InputError> {
    let settings = Settings::load(config)?;
    let policy = Policy::load(policy, &settings)?;
    Ok((settings, policy))
}

/// Why a controller does not serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Settings or policy cannot be used.
    #[error(transparent)]
    Input(#[from] InputError),
    /// A listener cannot be opened.
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Serves as the controller of a settings file until the process is killed.
///
/// # Errors
/// See [`ServeError`].
pub fn serve(config: &Path, policy: Option<&Path>) -> Result<(), ServeError> {
    let (settings, policy) = load(config, policy)?;
    let json = logging::start(tracing::Level::INFO);
    // Many controllers' logs may be collected in one place: each line names its own.
    let _span = json.then(|| tracing::info_span!("controller", node = %settings.node_id).entered());
    Ok(driver::serve(settings, policy)?)
}

/// Runs the program.
pub fn run() -> ExitCode {
    let args = Args::parse();
    match args.command {
        None => {
            let Some(config) = args.config else {
                return fail(BAD_INPUT, "--config FILE is needed to serve; see --help");
            };
            match serve(&config, args.policy.as_deref()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e @ ServeError::Input(_)) => fail(BAD_INPUT, e),
                Err(e @ ServeError::Listen(_)) => fail(CANNOT_LISTEN, e),
            }
        }
        Some(DaemonCommand::Check { config, policy }) => check(&config, policy.as_deref()),
    }
}

/// Prints the policy in force, and what follows from the settings.
fn check(config: &Path, policy: Option<&Path>) -> ExitCode {
    let (settings, policy) = match load(config, policy) {
        Ok(loaded) => loaded,
        Err(e) => return fail(BAD_INPUT, e),
    };
    let bounds = AuthorityBounds::new(&settings.workers);
    let report = serde_json::json!({
        "node": settings.node_id,
        "answers_without_contact_s": bounds.hold().as_secs(),
        "cancelled_may_run_over_s": bounds.cancel_overrun().as_secs(),
        "policy": policy,
    });
    println!("{report}");
    ExitCode::SUCCESS
}
