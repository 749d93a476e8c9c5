//! Checks of single values.

use std::{fmt::Display, ops::RangeInclusive};

use super::{Place, Rule, Violation, limits};

/// Methods of RFC 9110 section 9 and RFC 5789 that a call can have. `CONNECT` and `TRACE` are
/// meant for proxies and can't be forwarded.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Collects the violations of the fields of one table.
pub struct TableCheck<'a> {
    /// Name of the table in reports, with the dot that separates it from the field.
    pub prefix: String,
    /// The table.
    pub entry: super::Entry,
    /// Where violations go.
    pub violations: &'a mut Vec<Violation>,
}

impl TableCheck<'_> {
    /// A number within its bounds.
    pub fn number<T: PartialOrd + Display>(
        &mut self,
        field: &'static str,
        value: &T,
        bounds: &RangeInclusive<T>,
    ) {
        if bounds.contains(value) {
            return;
        }
        let allowed = format!("an integer from {} to {}", bounds.start(), bounds.end());
        let mend = format!("set `{field}` to at least {}", bounds.start());
        self.refuse(Rule::OutOfRange, field, value.to_string(), allowed, mend);
    }

    /// A name of the characters that names may have.
    pub fn name(&mut self, field: &'static str, value: &str) {
        let length_fits = limits::NAME_LENGTH.contains(&value.len());
        if length_fits && value.chars().all(is_name_character) {
            return;
        }
        let allowed = format!(
            "{} to {} characters of a-z, 0-9 and -",
            limits::NAME_LENGTH.start(),
            limits::NAME_LENGTH.end()
        );
        let mend = match suggested_name(value) {
            Some(name) => format!("write it as `{name}`"),
            None => "choose a name of these characters".to_owned(),
        };
        self.refuse(Rule::InvalidName, field, quote(value), allowed, mend);
    }

    /// The methods of a template.
    pub fn methods(&mut self, methods: &[String]) {
        for (index, method) in methods.iter().enumerate() {
            if METHODS.contains(&method.as_str()) {
                continue;
            }
            let upper = method.to_ascii_uppercase();
            let mend = if METHODS.contains(&upper.as_str()) {
                format!("write it as `{upper}`")
            } else {
                "name a method of the list, or leave `methods` out to cover all".to_owned()
            };
            self.violations.push(Violation {
                rule: Rule::UnknownMethod,
                place: Place::element(self.entry, "methods", index),
                field: format!("{}methods[{index}]", self.prefix),
                given: quote(method),
                allowed: METHODS.join(", "),
                mend,
                compared: Vec::new(),
            });
        }
    }

    /// The path prefix of a template.
    pub fn path_prefix(&mut self, prefix: &str) {
        if prefix.starts_with('/') && prefix.chars().all(is_path_character) {
            return;
        }
        let mend = if prefix.starts_with('/') {
            "percent-encode what is not a path character and leave the query out".to_owned()
        } else {
            format!("write it as `/{prefix}`")
        };
        self.refuse(
            Rule::InvalidPathPrefix,
            "path_prefix",
            quote(prefix),
            "`/` and then visible ASCII characters without `?` and `#`".to_owned(),
            mend,
        );
    }

    /// Records a violation of one field that stands for itself.
    pub fn refuse(
        &mut self,
        rule: Rule,
        field: &'static str,
        given: String,
        allowed: String,
        mend: String,
    ) {
        self.violations.push(Violation {
            rule,
            place: Place::field(self.entry, field),
            field: format!("{}{field}", self.prefix),
            given,
            allowed,
            mend,
            compared: Vec::new(),
        });
    }

    /// Records a violation that compares a field with others.
    pub fn refuse_compared(
        &mut self,
        rule: Rule,
        field: &'static str,
        given: String,
        allowed: String,
        mend: String,
        compared: Vec<Place>,
    ) {
        self.refuse(rule, field, given, allowed, mend);
        if let Some(violation) = self.violations.last_mut() {
            violation.compared = compared;
        }
    }
}

/// A text between quotes, with control characters made visible.
pub fn quote(text: &str) -> String {
    format!("{text:?}")
}

fn is_name_character(character: char) -> bool {
    matches!(character, 'a'..='z' | '0'..='9' | '-')
}

fn is_path_character(character: char) -> bool {
    character.is_ascii_graphic() && !matches!(character, '?' | '#')
}

/// The nearest name that is allowed, when only case and separators are wrong.
fn suggested_name(value: &str) -> Option<String> {
    let name = value.to_ascii_lowercase().replace(['_', '.', ' '], "-");
    let fits = limits::NAME_LENGTH.contains(&name.len()) && name.chars().all(is_name_character);
    fits.then_some(name)
}
