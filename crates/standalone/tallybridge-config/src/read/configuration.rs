//! Reads configuration files.

use toml::{Spanned, de::DeTable};

use super::{reader::Reader, table::TableReader};
use crate::{
    check::{Entry, limits},
    file::ConfigurationFile,
    mistake::Mistakes,
    template::{
        Template, default_deadline_ms, default_idempotent, default_max_answer_bytes,
        default_max_request_bytes, default_path_prefix, default_retry_allowance,
    },
    tenant::{Tenant, TenantOverride},
};

/// Reads a configuration file and checks the whole.
pub fn read_configuration(file_name: &str, text: &str) -> Result<ConfigurationFile, Mistakes> {
    let (mut reader, table) = Reader::parse(file_name, text);
    let mut top = TableReader::new(&mut reader, table.get_ref(), 0..0, Entry::Top, "");
    let template_tables = top.tables("template");
    let tenant_tables = top.tables("tenant");
    top.finish();
    let templates = template_tables.iter().enumerate();
    let templates = templates.map(|(index, table)| read_template(&mut reader, index, table));
    let templates = templates.collect();
    let tenants = tenant_tables.iter().enumerate();
    let tenants = tenants.map(|(index, table)| read_tenant(&mut reader, index, table));
    let tenants = tenants.collect();
    let file = ConfigurationFile { templates, tenants };
    reader.record_checked(file.check());
    reader.finish(file)
}

/// What reports call a table: its name, or its number counted from 1 when it has none.
fn label(kind: &str, table: &DeTable<'_>, name_field: &str, index: usize) -> String {
    let name = table.get(name_field);
    match name.and_then(|name| name.get_ref().as_str()) {
        Some(name) => format!("{kind}[{name}]"),
        None => format!("{kind}[#{}]", index + 1),
    }
}

fn read_template<'a>(
    reader: &mut Reader<'a>,
    index: usize,
    table: &Spanned<&DeTable<'a>>,
) -> Template {
    let label = label("template", table.get_ref(), "name", index);
    let entry = Entry::Template(index);
    let mut fields = TableReader::new(reader, table.get_ref(), table.span(), entry, &label);
    let template = Template {
        name: fields.required("name"),
        service: fields.required("service"),
        methods: fields.list("methods").unwrap_or_default(),
        path_prefix: fields
            .optional("path_prefix")
            .unwrap_or_else(default_path_prefix),
        criticality: fields.optional("criticality").unwrap_or_default(),
        idempotent: fields
            .optional("idempotent")
            .unwrap_or_else(default_idempotent),
        retry_on: fields.optional("retry_on").unwrap_or_default(),
        retry_allowance: fields
            .number("retry_allowance", &limits::RETRY_ALLOWANCE)
            .unwrap_or_else(default_retry_allowance),
        deadline_ms: fields
            .number("deadline_ms", &limits::DEADLINE_MS)
            .unwrap_or_else(default_deadline_ms),
        parent: fields.optional("parent"),
        max_request_bytes: fields
            .number("max_request_bytes", &limits::BODY_BYTES)
            .unwrap_or_else(default_max_request_bytes),
        max_answer_bytes: fields
            .number("max_answer_bytes", &limits::BODY_BYTES)
            .unwrap_or_else(default_max_answer_bytes),
        concurrency_limit: fields.number("concurrency_limit", &limits::CONCURRENCY),
        reserve: fields
            .number("reserve", &limits::RESERVE)
            .unwrap_or_default(),
    };
    fields.finish();
    template
}

fn read_tenant<'a>(reader: &mut Reader<'a>, index: usize, table: &Spanned<&DeTable<'a>>) -> Tenant {
    let label = label("tenant", table.get_ref(), "name", index);
    let entry = Entry::Tenant(index);
    let mut fields = TableReader::new(reader, table.get_ref(), table.span(), entry, &label);
    let name = fields.required("name");
    let override_tables = fields.tables("override");
    fields.finish();
    let overrides = override_tables.iter().enumerate();
    let overrides = overrides.map(|(number, table)| {
        let entry = Entry::Override {
            tenant: index,
            index: number,
        };
        read_override(reader, entry, &label, number, table)
    });
    Tenant {
        name,
        overrides: overrides.collect(),
    }
}

fn read_override<'a>(
    reader: &mut Reader<'a>,
    entry: Entry,
    tenant_label: &str,
    index: usize,
    table: &Spanned<&DeTable<'a>>,
) -> TenantOverride {
    let label = label("override", table.get_ref(), "template", index);
    let label = format!("{tenant_label}.{label}");
    let mut fields = TableReader::new(reader, table.get_ref(), table.span(), entry, &label);
    let parameters = TenantOverride {
        template: fields.required("template"),
        deadline_ms: fields.number("deadline_ms", &limits::DEADLINE_MS),
        criticality: fields.optional("criticality"),
        retry_allowance: fields.number("retry_allowance", &limits::RETRY_ALLOWANCE),
    };
    fields.finish();
    parameters
}
