//! Settings that change while the node runs. They are read again at SIGHUP, and each second, as the
//! platform may lay out a new file without a signal. What can't change while the node runs is named
//! in the log ([`MeshSettings::changes_requiring_restart`]).

use std::{sync::Arc, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    node::Node,
    settings::{MeshSettings, SettingsError},
};

/// Time between reads of settings that may have changed without a signal. Origin not recorded.
const READ_INTERVAL: Duration = Duration::from_millis(1000);

/// Where the settings come from.
pub trait SettingsSource: Send + Sync + 'static {
    /// The settings as text, as they are now.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when they can't be read.
    fn read(&self) -> Result<String, SettingsError>;
}

/// Applies changed settings for as long as the process lives. Settings that can't be used are
/// logged, and the last good ones stay in force.
pub async fn reload_settings(node: Arc<Node>, source: Arc<dyn SettingsSource>, mut hangup: Signal) {
    // No settings are empty, so that the next read that succeeds counts as a change.
    let mut last = read(&*source).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(READ_INTERVAL) => false,
        };
        let Some(text) = read(&*source) else {
            continue;
        };
        if text == last && !signalled {
            continue;
        }
        apply(&node, &text, signalled);
        last = text;
    }
}

fn read(source: &dyn SettingsSource) -> Option<String> {
    match source.read() {
        Ok(text) => Some(text),
        Err(error) => {
            tracing::error!(%error, "settings can't be read, the last ones stay");
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
            tracing::error!(%error, mend, "settings can't be used, the last ones stay");
        }
    }
}
