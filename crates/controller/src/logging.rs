//! Logs on standard error, from the level in `LOG_LEVEL` on (`error`, `warn`,
//! `info`, `debug`, `trace`) and in the format in `LOG_FORMAT` (`json`, or text).

use tracing::Level;

/// Starts logging; `default_level` holds where `LOG_LEVEL` is not set. Returns
/// whether logs are JSON, which programs read.
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
    // With job, machine, token and span in fields of their own.
    let json = std::env::var("LOG_FORMAT").as_deref() == Ok("json");
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    json
}
