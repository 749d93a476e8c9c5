//! Settings given by flags, which go before those of the file.

use std::net::SocketAddr;

use tallybridge_core::{RegionName, ServiceName, ZoneName};

use crate::{
    check::{Entry, Place},
    mistake::Mistakes,
    read,
    settings::{BackendSettings, Settings},
};

/// Values that replace those of the file; an absent one keeps the file's.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SettingsOverrides {
    /// Replaces [`Settings::peer_address`].
    pub peer_address: Option<SocketAddr>,
    /// Replaces [`Settings::caller_address`].
    pub caller_address: Option<SocketAddr>,
    /// Replaces [`Settings::admin_address`].
    pub admin_address: Option<SocketAddr>,
    /// Replaces [`Settings::region`].
    pub region: Option<RegionName>,
    /// Replaces [`Settings::zone`].
    pub zone: Option<ZoneName>,
    /// Replaces [`Settings::rack`].
    pub rack: Option<String>,
    /// Replaces the service of [`Settings::backend`].
    pub backend_service: Option<ServiceName>,
    /// Replaces the address of [`Settings::backend`].
    pub backend_address: Option<SocketAddr>,
    /// Replaces the most connections of [`Settings::backend`].
    pub backend_max_connections: Option<u16>,
    /// Replaces the first concurrency limit of [`Settings::backend`].
    pub backend_initial_limit: Option<u16>,
    /// Replaces the whole of [`Settings::store`].
    pub store: Option<Vec<SocketAddr>>,
    /// Replaces [`Settings::machine_list`].
    pub machine_list: Option<SocketAddr>,
    /// Replaces the whole of [`Settings::seeds`].
    pub seeds: Option<Vec<SocketAddr>>,
    /// Replaces [`Settings::log`].
    pub log: Option<String>,
    /// Replaces [`Settings::drain_ms`].
    pub drain_ms: Option<u32>,
}

impl Settings {
    /// Reads and checks a settings file. `file_name` is what the report calls it.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] with everything that is wrong in the file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Mistakes> {
        Self::parse_with(file_name, text, &SettingsOverrides::default())
    }

    /// Reads a settings file, replaces what the flags give and checks the result. A field that a
    /// flag gives may be missing from the file.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] with everything that is wrong in the file and the flags.
    pub fn parse_with(
        file_name: &str,
        text: &str,
        overrides: &SettingsOverrides,
    ) -> Result<Self, Mistakes> {
        read::read_settings(file_name, text, overrides)
    }

    /// Reads and checks a settings file that need not be text, as [`parse_with`](Self::parse_with)
    /// does.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] with everything that is wrong in the file and the flags.
    pub fn parse_bytes_with(
        file_name: &str,
        bytes: &[u8],
        overrides: &SettingsOverrides,
    ) -> Result<Self, Mistakes> {
        Self::parse_with(file_name, read::as_text(file_name, bytes)?, overrides)
    }

    /// The settings as text, which [`parse`](Self::parse) reads back.
    ///
    /// # Panics
    ///
    /// Never: every value that settings can hold is one that TOML can.
    #[must_use]
    pub fn print(&self) -> String {
        toml::to_string(self).expect("settings are a table of plain values")
    }
}

impl SettingsOverrides {
    /// Whether a flag says something about the back end.
    pub(crate) const fn names_backend(&self) -> bool {
        self.backend_service.is_some()
            || self.backend_address.is_some()
            || self.backend_max_connections.is_some()
            || self.backend_initial_limit.is_some()
    }

    /// Puts the values in place and names the fields that were replaced.
    pub(crate) fn apply(&self, settings: &mut Settings) -> Vec<Place> {
        let mut replaced = Replaced {
            entry: Entry::Top,
            places: Vec::new(),
        };
        replaced.put(
            "peer_address",
            &mut settings.peer_address,
            &self.peer_address,
        );
        replaced.put(
            "caller_address",
            &mut settings.caller_address,
            &self.caller_address,
        );
        replaced.put(
            "admin_address",
            &mut settings.admin_address,
            &self.admin_address,
        );
        replaced.put("region", &mut settings.region, &self.region);
        replaced.put("zone", &mut settings.zone, &self.zone);
        replaced.put("rack", &mut settings.rack, &self.rack);
        replaced.put("store", &mut settings.store, &self.store);
        let machine_list = self.machine_list.map(Some);
        replaced.put("machine_list", &mut settings.machine_list, &machine_list);
        replaced.put("seeds", &mut settings.seeds, &self.seeds);
        replaced.put("log", &mut settings.log, &self.log);
        replaced.put("drain_ms", &mut settings.drain_ms, &self.drain_ms);
        if let Some(backend) = &mut settings.backend {
            self.apply_to_backend(backend, &mut replaced);
        }
        replaced.places
    }

    fn apply_to_backend(&self, backend: &mut BackendSettings, replaced: &mut Replaced) {
        replaced.entry = Entry::Backend;
        replaced.put("service", &mut backend.service, &self.backend_service);
        replaced.put("address", &mut backend.address, &self.backend_address);
        replaced.put(
            "max_connections",
            &mut backend.max_connections,
            &self.backend_max_connections,
        );
        replaced.put(
            "initial_limit",
            &mut backend.initial_limit,
            &self.backend_initial_limit,
        );
    }
}

/// The fields that were replaced so far.
struct Replaced {
    entry: Entry,
    places: Vec<Place>,
}

impl Replaced {
    fn put<T: Clone>(&mut self, field: &'static str, target: &mut T, value: &Option<T>) {
        if let Some(value) = value {
            *target = value.clone();
            self.places.push(Place::field(self.entry, field));
        }
    }
}
