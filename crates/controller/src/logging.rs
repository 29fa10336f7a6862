//! Logging to standard error. `LOG_LEVEL` sets the least severe level that is logged
//! (`error`, `warn`, `info`, `debug` or `trace`), `LOG_FORMAT` the format (`json`; any other
//! value means text).

use tracing::Level;

/// Starts logging. `default_level` applies if `LOG_LEVEL` is not set or names no level.
/// Returns whether the log format is JSON, which is meant to be read by programs.
pub fn start(default_level: Level) -> bool {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => Level::ERROR,
        Ok("warn") => Level::WARN,
        Ok("info") => Level::INFO,
        Ok("debug") => Level::DEBUG,
        Ok("trace") => Level::TRACE,
        _ => default_level,
    };
    let logs = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    // In JSON each field of an event (job, machine, token) and the span is a separate
    // field of the line.
    let json = std::env::var("LOG_FORMAT").as_deref() == Ok("json");
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    json
}
