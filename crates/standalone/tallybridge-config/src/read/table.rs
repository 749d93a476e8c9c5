//! Reads the fields of one table.

use std::{collections::BTreeSet, fmt::Display, ops::Range, ops::RangeInclusive};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use super::{
    reader::Reader,
    source::excerpt,
    value::{FieldValue, Unreadable, integer},
};
use crate::check::{Entry, Place, Rule, Violation};

/// How alike a known field must be to be suggested for an unknown one, from 0 to 1.
const SUGGESTION_CUTOFF: f32 = 0.6;

/// A table while its fields are read.
pub struct TableReader<'r, 'a, 't> {
    reader: &'r mut Reader<'a>,
    table: &'t DeTable<'a>,
    /// Where the table starts.
    span: Range<usize>,
    entry: Entry,
    /// Name of the table in reports, with the dot that separates it from the field.
    prefix: String,
    /// Fields that were asked for.
    known: BTreeSet<&'static str>,
}

impl<'r, 'a, 't> TableReader<'r, 'a, 't> {
    /// Starts to read a table. `label` is what reports call it; empty for the top of the file.
    pub fn new(
        reader: &'r mut Reader<'a>,
        table: &'t DeTable<'a>,
        span: Range<usize>,
        entry: Entry,
        label: &str,
    ) -> Self {
        reader.record_span(Place::field(entry, ""), span.clone());
        Self {
            reader,
            table,
            span,
            entry,
            prefix: if label.is_empty() {
                String::new()
            } else {
                format!("{label}.")
            },
            known: BTreeSet::new(),
        }
    }

    /// A field that must be there.
    pub fn required<T: FieldValue>(&mut self, field: &'static str) -> T {
        if let Some(value) = self.lookup(field) {
            return self.read(Place::field(self.entry, field), value);
        }
        self.record_missing(field);
        T::placeholder()
    }

    /// A field that may be absent.
    pub fn optional<T: FieldValue>(&mut self, field: &'static str) -> Option<T> {
        let value = self.lookup(field)?;
        Some(self.read(Place::field(self.entry, field), value))
    }

    /// A whole number.
    pub fn number<T>(&mut self, field: &'static str, bounds: &RangeInclusive<T>) -> Option<T>
    where
        T: TryFrom<i128> + Display + Copy,
    {
        let value = self.lookup(field)?;
        let place = Place::field(self.entry, field);
        let allowed = format!("an integer from {} to {}", bounds.start(), bounds.end());
        let number = integer(value.get_ref());
        if let Some(number) = number.and_then(|number| T::try_from(number).ok()) {
            self.reader.record_span(place, value.span());
            return Some(number);
        }
        let rule = match number {
            Some(_) => Rule::OutOfRange,
            None => Rule::WrongType,
        };
        let mend = format!("write {allowed}");
        let unreadable = Unreadable {
            rule,
            allowed,
            mend,
        };
        self.record_unreadable(place, value, unreadable);
        Some(*bounds.start())
    }

    /// A list; absent, it is empty.
    pub fn list<T: FieldValue>(&mut self, field: &'static str) -> Option<Vec<T>> {
        let value = self.lookup(field)?;
        let place = Place::field(self.entry, field);
        let Some(elements) = value.get_ref().as_array() else {
            let unreadable = Unreadable::wrong_type("a list in square brackets");
            self.record_unreadable(place, value, unreadable);
            return Some(Vec::new());
        };
        self.reader.record_span(place, value.span());
        let elements = elements.iter().enumerate();
        let elements = elements.map(|(index, element)| {
            let place = Place::element(self.entry, field, index);
            self.read(place, element)
        });
        Some(elements.collect())
    }

    /// Tables of one kind, written `[[field]]`, each with its number.
    pub fn tables(&mut self, field: &'static str) -> Vec<Spanned<&'t DeTable<'a>>> {
        let Some(value) = self.lookup(field) else {
            return Vec::new();
        };
        let expected = format!("tables under [[{field}]]");
        let Some(elements) = value.get_ref().as_array() else {
            let place = Place::field(self.entry, field);
            self.record_unreadable(place, value, Unreadable::wrong_type(&expected));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (index, element) in elements.iter().enumerate() {
            if let Some(table) = element.get_ref().as_table() {
                tables.push(Spanned::new(element.span(), table));
            } else {
                let place = Place::element(self.entry, field, index);
                self.record_unreadable(place, element, Unreadable::wrong_type(&expected));
            }
        }
        tables
    }

    /// A table written `[field]`.
    pub fn table(&mut self, field: &'static str) -> Option<Spanned<&'t DeTable<'a>>> {
        let value = self.lookup(field)?;
        if let Some(table) = value.get_ref().as_table() {
            return Some(Spanned::new(value.span(), table));
        }
        let place = Place::field(self.entry, field);
        let unreadable = Unreadable::wrong_type(&format!("a table under [{field}]"));
        self.record_unreadable(place, value, unreadable);
        None
    }

    /// Ends the table: what was not asked for is unknown.
    pub fn finish(self) {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if self.known.contains(name) {
                continue;
            }
            let known: Vec<_> = self.known.iter().copied().collect();
            let suggestions = similar::get_close_matches(name, &known, 1, SUGGESTION_CUTOFF);
            let mend = match suggestions.first() {
                Some(suggestion) => format!("did you mean `{suggestion}`?"),
                None => "remove it".to_owned(),
            };
            let violation = Violation {
                rule: Rule::UnknownField,
                place: Place::field(self.entry, ""),
                field: format!("{}{name}", self.prefix),
                given: "an unknown field".to_owned(),
                allowed: known.join(", "),
                mend,
                compared: Vec::new(),
            };
            self.reader.record(violation, key.span());
        }
    }

    /// The reader, for a table within this one.
    pub fn reader(&mut self) -> &mut Reader<'a> {
        self.reader
    }

    fn lookup(&mut self, field: &'static str) -> Option<&'t Spanned<DeValue<'a>>> {
        self.known.insert(field);
        self.table.get(field)
    }

    fn read<T: FieldValue>(&mut self, place: Place, value: &Spanned<DeValue<'a>>) -> T {
        match T::read(value.get_ref()) {
            Ok(read) => {
                self.reader.record_span(place, value.span());
                read
            }
            Err(unreadable) => {
                self.record_unreadable(place, value, unreadable);
                T::placeholder()
            }
        }
    }

    fn record_missing(&mut self, field: &'static str) {
        let violation = Violation {
            rule: Rule::MissingField,
            place: Place::field(self.entry, field),
            field: format!("{}{field}", self.prefix),
            given: "absent".to_owned(),
            allowed: "a value: the field has no default".to_owned(),
            mend: format!("add `{field} = ...`"),
            compared: Vec::new(),
        };
        self.reader.record_unreadable(violation, self.span.clone());
    }

    fn record_unreadable(
        &mut self,
        place: Place,
        value: &Spanned<DeValue<'a>>,
        unreadable: Unreadable,
    ) {
        let element = match place.element {
            Some(element) => format!("[{element}]"),
            None => String::new(),
        };
        let violation = Violation {
            rule: unreadable.rule,
            place,
            field: format!("{}{}{element}", self.prefix, place.field),
            given: excerpt(self.reader.text, &value.span()),
            allowed: unreadable.allowed,
            mend: unreadable.mend,
            compared: Vec::new(),
        };
        self.reader.record_unreadable(violation, value.span());
    }
}
