//! Settings that change while the node runs, with a signal or silently.

use std::{sync::Arc, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use crate::{
    node::Node,
    settings::{MeshSettings, SettingsError},
};

/// Time between looks at settings that may have changed silently.
const LOOK: Duration = Duration::from_millis(1000);

/// Where the settings come from.
pub trait SettingsSource: Send + Sync + 'static {
    /// The settings as text, as they are now.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] when they can't be read.
    fn read(&self) -> Result<String, SettingsError>;
}

/// Takes in changed settings for as long as the process lives. Settings that can't be used are
/// told of, and the last good ones stay in force.
pub async fn reload_settings(node: Arc<Node>, source: Arc<dyn SettingsSource>, mut hangup: Signal) {
    let mut last = source.read().unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK) => false,
        };
        let text = match source.read() {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%error, "settings can't be read, the last ones stay");
                continue;
            }
        };
        if text == last && !signalled {
            continue;
        }
        take_in(&node, &text, signalled);
        last = text;
    }
}

fn take_in(node: &Node, text: &str, signalled: bool) {
    match MeshSettings::parse(text) {
        Ok(settings) => {
            let at_next_start = node.settings.fixed_differences(&settings);
            node.take_in_settings(&settings);
            tracing::info!(signalled, ?at_next_start, "settings reloaded");
        }
        Err(error) => {
            let mend = error.mend.as_str();
            tracing::error!(%error, mend, "settings can't be used, the last ones stay");
        }
    }
}
