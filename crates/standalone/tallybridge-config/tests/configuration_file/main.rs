//! Every mistake of a configuration file is named with its line, field, value and what is allowed.

mod good;
mod report;
mod support;
mod template_relations;
mod template_values;
mod tenant_values;
