//! Reads settings.

use std::net::SocketAddr;

use toml::{Spanned, de::DeTable};

use super::{reader::Reader, table::TableReader};
use crate::{
    check::{Entry, check_settings, limits},
    mistake::Mistakes,
    overrides::SettingsOverrides,
    settings::{
        BackendSettings, Settings, default_drain_ms, default_initial_limit, default_log,
        default_max_connections,
    },
};

/// Reads settings, puts the flags' values in and checks the whole.
pub fn read_settings(
    file_name: &str,
    text: &str,
    overrides: &SettingsOverrides,
) -> Result<Settings, Mistakes> {
    let (mut reader, table) = Reader::parse(file_name, text);
    let mut settings = read_top(&mut reader, &table);
    if settings.backend.is_none() && overrides.names_backend() {
        settings.backend = Some(read_absent_backend(&mut reader));
    }
    for place in overrides.apply(&mut settings) {
        reader.record_flag(place);
    }
    reader.record_checked(check_settings(&settings));
    reader.finish(settings)
}

fn read_top<'a>(reader: &mut Reader<'a>, table: &Spanned<DeTable<'a>>) -> Settings {
    let mut top = TableReader::new(reader, table.get_ref(), 0..0, Entry::Top, "");
    let settings = Settings {
        peer_address: top.required("peer_address"),
        caller_address: top.required("caller_address"),
        admin_address: top.required("admin_address"),
        region: top.required("region"),
        zone: top.required("zone"),
        rack: top.optional("rack").unwrap_or_default(),
        backend: read_backend(&mut top),
        store: top
            .list("store")
            .unwrap_or_else(|| required_list(&mut top, "store")),
        machine_list: top.optional("machine_list"),
        seeds: top.list("seeds").unwrap_or_default(),
        log: top.optional("log").unwrap_or_else(default_log),
        drain_ms: top
            .number("drain_ms", &limits::DRAIN_MS)
            .unwrap_or_else(default_drain_ms),
    };
    top.finish();
    settings
}

/// Records the absence of a list that must be there.
fn required_list(top: &mut TableReader<'_, '_, '_>, field: &'static str) -> Vec<SocketAddr> {
    let _: SocketAddr = top.required(field);
    Vec::new()
}

fn read_backend(top: &mut TableReader<'_, '_, '_>) -> Option<BackendSettings> {
    let table = top.table("backend")?;
    Some(read_backend_table(top.reader(), &table))
}

/// A back end of which only flags speak: its required fields are missing unless a flag gives them.
fn read_absent_backend(reader: &mut Reader<'_>) -> BackendSettings {
    let empty = DeTable::new();
    read_backend_table(reader, &Spanned::new(0..0, &empty))
}

fn read_backend_table<'a>(
    reader: &mut Reader<'a>,
    table: &Spanned<&DeTable<'a>>,
) -> BackendSettings {
    let entry = Entry::Backend;
    let mut backend = TableReader::new(reader, table.get_ref(), table.span(), entry, "backend");
    let settings = BackendSettings {
        service: backend.required("service"),
        address: backend.required("address"),
        max_connections: backend
            .number("max_connections", &limits::CONCURRENCY)
            .unwrap_or_else(default_max_connections),
        initial_limit: backend
            .number("initial_limit", &limits::CONCURRENCY)
            .unwrap_or_else(default_initial_limit),
    };
    backend.finish();
    settings
}
