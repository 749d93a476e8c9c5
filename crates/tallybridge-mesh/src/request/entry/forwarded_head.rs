//! Head of the HTTP request that the executor sends to the back end.

use crate::{
    configuration::tenants::Tenant,
    http::{Request, write_line},
    node::Node,
};

/// Initial size of the buffer, in bytes.
const HEAD_CAPACITY: usize = 512;

/// Builds the request line and header lines for the back end. The executor appends its own lines and
/// the empty line at the end.
pub(super) fn forwarded_head(node: &Node, request: &Request, tenant: Option<&Tenant>) -> Vec<u8> {
    let names = &node.header_names;
    let head = &request.head;
    let mut bytes = Vec::with_capacity(HEAD_CAPACITY);
    bytes.extend_from_slice(head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    let dropped_names = [
        names.deadline_ms,
        names.expected_instance,
        names.caller_service,
        names.credential,
        names.tenant,
        "expect",
    ];
    head.headers.write_end_to_end(&dropped_names, &mut bytes);
    let service = node.settings.backend.service.as_bytes();
    write_line(names.caller_service, service, &mut bytes);
    if let Some(tenant) = tenant {
        write_line(names.tenant, tenant.name.as_bytes(), &mut bytes);
    }
    let has_body = head.headers.first("content-length").is_some()
        || head.headers.first("transfer-encoding").is_some();
    if has_body {
        let length = request.body.len().to_string();
        write_line("Content-Length", length.as_bytes(), &mut bytes);
    }
    bytes
}
