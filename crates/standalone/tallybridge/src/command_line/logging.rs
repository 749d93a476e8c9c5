//! Logs as JSON lines on the standard error.

use tallybridge_core::ErrorKind;
use tracing_subscriber::EnvFilter;

use super::Failure;

/// What commands other than `node` log.
pub const COMMAND_FILTER: &str = "warn";

/// Starts logging. In a program that embeds the command line and logs already, its own way of
/// logging stays.
///
/// # Errors
///
/// [`ErrorKind::InvalidConfiguration`] when the filter is none.
pub fn start(filter: &str) -> Result<(), Failure> {
    let filter = EnvFilter::try_new(filter).map_err(|error| {
        let detail = format!("`log` is {filter:?}, which is no log filter: {error}");
        Failure::new(ErrorKind::InvalidConfiguration, detail)
    })?;
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_writer(std::io::stderr)
        .with_env_filter(filter);
    // Fails only when the process logs already.
    let _ = subscriber.try_init();
    Ok(())
}
