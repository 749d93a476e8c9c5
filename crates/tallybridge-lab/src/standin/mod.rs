//! Stand-ins of the services that tallybridge leans on.

pub mod machine_list;
pub mod store;
