//! Logs on standard error, in the amount of `LOG_LEVEL` (`error`, `warn`,
//! `info`, `debug`, `trace`) and the form of `LOG_FORMAT` (`json`, or text).

use tracing::Level;

/// Starts logging; `usual` holds where `LOG_LEVEL` says nothing. Returns whether
/// programs read the logs.
pub fn start(usual: Level) -> bool {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Level::ERROR,
        Ok("warn") => Level::WARN,
        Ok("info") => Level::INFO,
        Ok("debug") => Level::DEBUG,
        Ok("trace") => Level::TRACE,
        _ => usual,
    };
    let logs = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    // For programs: job, machine, token and span in fields of their own.
    let json = std::env::var("LOG_FORMAT").as_deref() == Ok("json");
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    json
}
