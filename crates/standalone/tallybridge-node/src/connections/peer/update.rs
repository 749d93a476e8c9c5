//! The message that brings a peer's configuration up to date.

use serde::Serialize;
use tallybridge_wire::{ConfigurationRecords, JsonReport, Message, codec::MAX_PAYLOAD_BYTES};

use crate::tables::configuration::ConfigurationUpdate;

/// Largest text of an update, in bytes, which leaves room for its length in the payload.
const MAX_TEXT_BYTES: usize = MAX_PAYLOAD_BYTES - 64;

/// The message of an update: as many records as fit, the peer asks for the others, or the whole
/// document. A document that does not fit is left out, and the peer reads it from the store.
#[must_use]
pub fn update_message(update: &ConfigurationUpdate) -> Message {
    match update {
        ConfigurationUpdate::Records(records) => {
            let mut count = records.len();
            let mut json = text(&records);
            while json.len() > MAX_TEXT_BYTES {
                count /= 2;
                json = text(&&records[..count]);
            }
            Message::ConfigurationRecords(ConfigurationRecords::new(json))
        }
        ConfigurationUpdate::Snapshot(document) => {
            let mut json = text(&**document);
            if json.len() > MAX_TEXT_BYTES {
                tracing::warn!(
                    bytes = json.len(),
                    "the configuration is too large for a peer"
                );
                json.clear();
            }
            Message::ConfigurationSnapshot(JsonReport::new(json))
        }
    }
}

/// The JSON of a value. The types of the configuration can always be written.
fn text<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
