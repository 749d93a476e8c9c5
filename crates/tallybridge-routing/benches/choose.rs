//! Cost of one decision by the number of services and endpoints.
fn main() {}
