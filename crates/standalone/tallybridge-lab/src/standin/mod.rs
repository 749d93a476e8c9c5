//! Stand-ins for the platform: back ends, configuration store and machine list.

pub mod backend;
pub mod machine_list;
pub mod store;
