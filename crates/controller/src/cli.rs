//! The command line of the daemon. Users and operators work with `pebblectl` instead.

use crate::core::leader_authority::AuthorityBounds;
use crate::policy::{Policy, PolicyError};
use crate::settings::{Settings, SettingsError};
use crate::{driver, logging};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A fault-tolerant cluster scheduler that prefers machines which hold a task's image.
///
/// Without a command the daemon runs as one controller.
#[derive(Parser, Debug)]
#[command(name = "pebblefold", version, args_conflicts_with_subcommands = true)]
struct Args {
    /// Settings file (JSON) written by the platform.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Policy script (Lua); the built-in script by default.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<DaemonCommand>,
}

#[derive(Subcommand, Debug)]
enum DaemonCommand {
    /// Checks settings and policy and prints the resulting policy.
    Check {
        /// Settings file (JSON).
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        /// Policy script (Lua); the built-in script by default.
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
}

/// Exit status if settings, policy or arguments are invalid.
const EXIT_INVALID_CONFIG: u8 = 2;
/// Exit status if the controller cannot start to serve, usually because a listener cannot
/// be opened.
const EXIT_CANNOT_SERVE: u8 = 1;

fn exit_with_error(status: u8, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("pebblefold: {message}");
    ExitCode::from(status)
}

/// Why settings or policy are invalid. The message names the file or the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The policy script is invalid.
    #[error(transparent)]
    Policy(#[from] PolicyError),
}

fn load_config(config: &Path, policy: Option<&Path>) -> Result<(Settings, Policy), ConfigError> {
    let settings = Settings::load(config)?;
    let policy = Policy::load(policy, &settings)?;
    Ok((settings, policy))
}

/// Why a controller cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// Settings or policy are invalid.
    #[error(transparent)]
    Input(#[from] ConfigError),
    /// A listener cannot be opened, or the async runtime or a thread cannot be started.
    #[error(transparent)]
    Listen(#[from] std::io::Error),
}

/// Runs the controller that the settings file at `config` describes, until a shutdown
/// signal arrives. `policy`: the path of the policy script; `None`: the built-in script.
///
/// # Errors
/// See [`ServeError`].
pub fn serve(config: &Path, policy: Option<&Path>) -> Result<(), ServeError> {
    let (settings, policy) = load_config(config, policy)?;
    let json = logging::start(tracing::Level::INFO);
    // The logs of several controllers may be collected in one place, so each line in JSON
    // names its controller.
    let _span = json.then(|| tracing::info_span!("controller", node = %settings.node_id).entered());
    Ok(driver::serve(settings, policy)?)
}

/// Runs the daemon with the arguments of the process; returns its exit status.
pub fn run() -> ExitCode {
    let args = Args::parse();
    match args.command {
        None => {
            let Some(config) = args.config else {
                return exit_with_error(
                    EXIT_INVALID_CONFIG,
                    "--config FILE is required to run a controller; see --help",
                );
            };
            match serve(&config, args.policy.as_deref()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e @ ServeError::Input(_)) => exit_with_error(EXIT_INVALID_CONFIG, e),
                Err(e @ ServeError::Listen(_)) => exit_with_error(EXIT_CANNOT_SERVE, e),
            }
        }
        Some(DaemonCommand::Check { config, policy }) => check(&config, policy.as_deref()),
    }
}

/// Prints the resulting policy, and the bounds that follow from the settings.
fn check(config: &Path, policy: Option<&Path>) -> ExitCode {
    let (settings, policy) = match load_config(config, policy) {
        Ok(loaded) => loaded,
        Err(e) => return exit_with_error(EXIT_INVALID_CONFIG, e),
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
