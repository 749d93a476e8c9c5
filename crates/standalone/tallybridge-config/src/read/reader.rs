//! What is known of a file while it is read.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
};

use toml::{
    Spanned,
    de::{DeTable, Error},
};

use super::{
    finding::Finding,
    source::{excerpt, line_at, line_number},
};
use crate::{
    check::{Entry, Place, Rule, Violation},
    mistake::Mistakes,
};

/// Collects findings and the places of the values that were read.
pub struct Reader<'a> {
    file_name: &'a str,
    /// The file.
    pub text: &'a str,
    findings: Vec<Finding>,
    /// Where each value stands.
    spans: BTreeMap<Place, Range<usize>>,
    /// Fields that hold a placeholder.
    replaced_by_placeholder: BTreeSet<Place>,
    /// Fields that a flag gave.
    given_by_flag: BTreeSet<Place>,
    /// Lines that are not TOML; what was made of them is a guess.
    broken_lines: BTreeSet<usize>,
}

impl<'a> Reader<'a> {
    /// Parses the file, recording what is not TOML.
    pub fn parse(file_name: &'a str, text: &'a str) -> (Self, Spanned<DeTable<'a>>) {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut reader = Self {
            file_name,
            text,
            findings: Vec::new(),
            spans: BTreeMap::new(),
            replaced_by_placeholder: BTreeSet::new(),
            given_by_flag: BTreeSet::new(),
            broken_lines: BTreeSet::new(),
        };
        for error in &errors {
            reader.record_syntax_error(error);
        }
        (reader, table)
    }

    /// Records a syntax error: one for each line, as the others there follow from the first.
    fn record_syntax_error(&mut self, error: &Error) {
        let span = error.span().unwrap_or(0..0);
        let line = line_number(self.text, span.start);
        if !self.broken_lines.insert(line) {
            return;
        }
        let whole_line = line_at(self.text, span.start).trim();
        let field = whole_line.split('=').next().unwrap_or_default().trim();
        let field = if field.is_empty() { "(file)" } else { field };
        let violation = Violation {
            rule: Rule::Syntax,
            place: Place::field(Entry::Top, ""),
            field: field.to_owned(),
            given: format!("`{}`", excerpt(whole_line, &(0..whole_line.len()))),
            allowed: error.message().lines().collect::<Vec<_>>().join("; "),
            mend: "write the line as TOML 1.1, for example `field = \"value\"`".to_owned(),
            compared: Vec::new(),
        };
        self.findings.push(Finding {
            violation,
            span: Some(span),
        });
    }

    /// Remembers where a value stands.
    pub fn record_span(&mut self, place: Place, span: Range<usize>) {
        self.spans.insert(place, span);
    }

    /// Records a value that can't be read, for which a placeholder stands in.
    pub fn record_unreadable(&mut self, violation: Violation, span: Range<usize>) {
        self.replaced_by_placeholder.insert(violation.place);
        self.record(violation, span);
    }

    /// Records a broken rule.
    pub fn record(&mut self, violation: Violation, span: Range<usize>) {
        self.findings.push(Finding {
            violation,
            span: Some(span),
        });
    }

    /// Records that a flag gave a field, so that neither its absence from the file nor its place
    /// in it counts.
    pub fn record_flag(&mut self, place: Place) {
        self.replaced_by_placeholder.remove(&place);
        self.given_by_flag.insert(place);
        self.findings.retain(|finding| {
            finding.violation.place != place || finding.violation.rule != Rule::MissingField
        });
    }

    /// Adds what the checks found, except where it is about placeholders.
    pub fn record_checked(&mut self, violations: Vec<Violation>) {
        for violation in violations {
            if self.is_about_placeholder(&violation) {
                continue;
            }
            let span = self.span_of(violation.place);
            self.findings.push(Finding { violation, span });
        }
    }

    fn is_about_placeholder(&self, violation: &Violation) -> bool {
        let mut places = violation.compared.iter().chain([&violation.place]);
        places.any(|place| self.holds_placeholder(*place))
    }

    fn holds_placeholder(&self, place: Place) -> bool {
        let whole = Place::field(place.entry, place.field);
        self.replaced_by_placeholder.contains(&place)
            || self.replaced_by_placeholder.contains(&whole)
    }

    /// Where a value stands: its own place, else its table's; `None` when a flag gave it.
    fn span_of(&self, place: Place) -> Option<Range<usize>> {
        let whole = Place::field(place.entry, place.field);
        if self.given_by_flag.contains(&whole) {
            return None;
        }
        let table = Place::field(place.entry, "");
        let mut spans = [place, whole, table].into_iter();
        let span = spans.find_map(|place| self.spans.get(&place));
        Some(span.cloned().unwrap_or(0..0))
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] when there were findings.
    pub fn finish<T>(mut self, value: T) -> Result<T, Mistakes> {
        self.drop_guesses();
        if self.findings.is_empty() {
            return Ok(value);
        }
        self.findings
            .sort_by_key(|finding| finding.span.as_ref().map(|span| span.start));
        let findings = self.findings.into_iter();
        let mistakes = findings.map(|finding| finding.into_mistake(self.file_name, self.text));
        let mistakes = mistakes.collect();
        Err(Mistakes::new(self.file_name, self.text, mistakes))
    }

    /// In a file that is not TOML, leaves out what may follow from the broken lines alone: absent
    /// fields, comparisons with other fields, values that the parser made up (with an empty span)
    /// and everything on those lines.
    fn drop_guesses(&mut self) {
        if self.broken_lines.is_empty() {
            return;
        }
        let (text, broken_lines) = (self.text, &self.broken_lines);
        self.findings.retain(|finding| {
            let violation = &finding.violation;
            violation.rule == Rule::Syntax
                || (stands_for_itself(violation)
                    && finding.span.as_ref().is_none_or(|span| {
                        let line = line_number(text, span.start);
                        !span.is_empty() && !broken_lines.contains(&line)
                    }))
        });
    }
}

/// Whether a violation is certain from its own field alone.
fn stands_for_itself(violation: &Violation) -> bool {
    let depends_on_others = matches!(
        violation.rule,
        Rule::MissingField | Rule::UnknownParent | Rule::UnknownTemplate | Rule::EmptyList
    );
    !depends_on_others && violation.compared.is_empty()
}
