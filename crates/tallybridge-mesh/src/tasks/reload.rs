//! Reloads the settings while the node runs.
//!
//! The settings are read again on SIGHUP, and regularly because the platform may replace the file
//! without a signal. Changes that need a restart are logged
//! ([`MeshSettings::changes_requiring_restart`]).

use std::{sync::Arc, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    node::Node,
    settings::{MeshSettings, SettingsError},
};

const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Source of the settings text, such as a file.
pub trait SettingsSource: Send + Sync + 'static {
    /// Reads the current settings as TOML.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] if the source cannot be read.
    fn read(&self) -> Result<String, SettingsError>;
}

/// Applies changed settings for as long as the process runs. Logs invalid settings and keeps the
/// previous ones.
pub async fn reload_settings(node: Arc<Node>, source: Arc<dyn SettingsSource>, mut hangup: Signal) {
    // Valid settings are never empty, so the next successful read counts as a change.
    let mut previous = read_settings(&*source).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        let Some(text) = read_settings(&*source) else {
            continue;
        };
        if text == previous && !signalled {
            continue;
        }
        apply(&node, &text, signalled);
        previous = text;
    }
}

fn read_settings(source: &dyn SettingsSource) -> Option<String> {
    match source.read() {
        Ok(text) => Some(text),
        Err(error) => {
            tracing::error!(%error, "cannot read the settings; keeping the previous ones");
            None
        }
    }
}

fn apply(node: &Node, text: &str, signalled: bool) {
    match MeshSettings::parse(text) {
        Ok(settings) => {
            let at_next_start = node.settings.changes_requiring_restart(&settings);
            node.apply_settings(&settings);
            tracing::info!(signalled, ?at_next_start, "settings reloaded");
        }
        Err(error) => {
            let mend = error.help.as_str();
            tracing::error!(%error, mend, "settings are invalid; keeping the previous ones");
        }
    }
}
