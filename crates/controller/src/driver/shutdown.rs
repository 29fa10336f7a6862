//! Signals that request a shutdown of the process.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// A flag that is set once the process receives SIGTERM or SIGINT. It is never set if the
/// signal handlers cannot be registered.
pub(super) fn shutdown_flag() -> Arc<AtomicBool> {
    let requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&requested)) {
            tracing::debug!(signal, error = %e, "signal handler not available");
        }
    }
    requested
}
