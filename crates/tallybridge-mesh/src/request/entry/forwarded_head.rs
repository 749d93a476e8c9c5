//! The request line and header lines that go to the back end with a call.

use crate::{
    configuration::tenants::Tenant,
    http::{Request, write_line},
    node::Node,
};

/// Room for the lines, in bytes.
const CAPACITY: usize = 512;

/// The request line and header lines that the back end gets, without those that the executor adds.
pub(super) fn forwarded_head(node: &Node, request: &Request, tenant: Option<&Tenant>) -> Vec<u8> {
    let names = &node.header_names;
    let head = &request.head;
    let mut bytes = Vec::with_capacity(CAPACITY);
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    let replaced = [
        names.deadline_ms,
        names.expected_instance,
        names.caller_service,
        names.credential,
        names.tenant,
        "expect",
    ];
    head.headers.write_end_to_end(&replaced, &mut bytes);
    let service = node.settings.backend.service.as_bytes();
    write_line(names.caller_service, service, &mut bytes);
    if let Some(tenant) = tenant {
        write_line(names.tenant, tenant.name.as_bytes(), &mut bytes);
    }
    let had_body = head.headers.first("content-length").is_some()
        || head.headers.first("transfer-encoding").is_some();
    if had_body {
        let length = request.body.len().to_string();
        write_line("Content-Length", length.as_bytes(), &mut bytes);
    }
    bytes
}
