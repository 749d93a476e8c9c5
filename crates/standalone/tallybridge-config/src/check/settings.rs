//! Checks of a node's settings.

use std::net::SocketAddr;

use super::{Entry, Place, Rule, Violation, limits, value::TableCheck};
use crate::settings::{BackendSettings, Settings};

impl Settings {
    /// Every rule that the settings break; empty when a node may start with them.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        check_settings(self)
    }
}

/// Checks all fields.
pub fn check_settings(settings: &Settings) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_top(settings, &mut violations);
    if let Some(backend) = &settings.backend {
        check_backend(backend, &mut violations);
    }
    check_addresses(settings, &mut violations);
    violations
}

fn check_top(settings: &Settings, violations: &mut Vec<Violation>) {
    let mut check = TableCheck {
        prefix: String::new(),
        entry: Entry::Top,
        violations,
    };
    check.name("region", settings.region.as_str());
    check.name("zone", settings.zone.as_str());
    if !settings.rack.is_empty() {
        check.name("rack", &settings.rack);
    }
    check.number("drain_ms", &settings.drain_ms, &limits::DRAIN_MS);
    if settings.store.is_empty() {
        check.refuse(
            Rule::EmptyList,
            "store",
            "[]".to_owned(),
            "at least one address".to_owned(),
            "name the addresses of the configuration store".to_owned(),
        );
    }
}

fn check_backend(backend: &BackendSettings, violations: &mut Vec<Violation>) {
    let mut check = TableCheck {
        prefix: "backend.".to_owned(),
        entry: Entry::Backend,
        violations,
    };
    check.name("service", backend.service.as_str());
    check.number(
        "max_connections",
        &backend.max_connections,
        &limits::CONCURRENCY,
    );
    check.number(
        "initial_limit",
        &backend.initial_limit,
        &limits::CONCURRENCY,
    );
}

/// What a node does with an address.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    /// It listens there; with port 0 the system chooses one.
    Listens,
    /// It connects there, and nothing of its own may listen there.
    Connects,
    /// It connects there; the address may be its own, in a list that all nodes share.
    Joins,
}

struct Address {
    place: Place,
    address: SocketAddr,
    usage: Use,
}

fn check_addresses(settings: &Settings, violations: &mut Vec<Violation>) {
    let addresses = addresses(settings);
    for (index, address) in addresses.iter().enumerate() {
        check_usable(address, violations);
        let earlier = &addresses[..index];
        let clash = earlier.iter().find(|other| clashes(address, other));
        if let Some(other) = clash {
            refuse_clash(address, other, violations);
        }
    }
}

fn addresses(settings: &Settings) -> Vec<Address> {
    let top = |field, address, usage| Address {
        place: Place::field(Entry::Top, field),
        address,
        usage,
    };
    let list = |field, index, address, usage| Address {
        place: Place::element(Entry::Top, field, index),
        address,
        usage,
    };
    let mut addresses = vec![
        top("peer_address", settings.peer_address, Use::Listens),
        top("caller_address", settings.caller_address, Use::Listens),
        top("admin_address", settings.admin_address, Use::Listens),
    ];
    addresses.extend(settings.backend.as_ref().map(|backend| Address {
        place: Place::field(Entry::Backend, "address"),
        address: backend.address,
        usage: Use::Connects,
    }));
    for (index, address) in settings.store.iter().enumerate() {
        addresses.push(list("store", index, *address, Use::Connects));
    }
    addresses.extend(
        settings
            .machine_list
            .map(|address| top("machine_list", address, Use::Connects)),
    );
    for (index, address) in settings.seeds.iter().enumerate() {
        addresses.push(list("seeds", index, *address, Use::Joins));
    }
    addresses
}

fn check_usable(address: &Address, violations: &mut Vec<Violation>) {
    let ip = address.address.ip();
    let is_single_host = !ip.is_unspecified() && !ip.is_multicast();
    let has_port = address.address.port() != 0 || address.usage == Use::Listens;
    if is_single_host && has_port {
        return;
    }
    let (allowed, mend) = if is_single_host {
        ("an address with a port from 1 to 65535", "name the port")
    } else {
        (
            "the address of one host: not 0.0.0.0, :: or a multicast address",
            "name the address by which the others reach this machine",
        )
    };
    violations.push(Violation {
        rule: Rule::UnusableAddress,
        place: address.place,
        field: field_path(address.place),
        given: address.address.to_string(),
        allowed: allowed.to_owned(),
        mend: mend.to_owned(),
        compared: Vec::new(),
    });
}

fn clashes(one: &Address, other: &Address) -> bool {
    let listens = one.usage == Use::Listens || other.usage == Use::Listens;
    let joins = one.usage == Use::Joins || other.usage == Use::Joins;
    let has_port = one.address.port() != 0;
    listens && !joins && has_port && one.address == other.address
}

fn refuse_clash(address: &Address, other: &Address, violations: &mut Vec<Violation>) {
    let other_field = field_path(other.place);
    violations.push(Violation {
        rule: Rule::AddressClash,
        place: address.place,
        field: field_path(address.place),
        given: address.address.to_string(),
        allowed: format!("an address other than that of `{other_field}`"),
        mend: "choose another port".to_owned(),
        compared: vec![other.place],
    });
}

/// How reports call a field of the settings.
fn field_path(place: Place) -> String {
    let table = match place.entry {
        Entry::Backend => "backend.",
        _ => "",
    };
    match place.element {
        Some(element) => format!("{table}{}[{element}]", place.field),
        None => format!("{table}{}", place.field),
    }
}
