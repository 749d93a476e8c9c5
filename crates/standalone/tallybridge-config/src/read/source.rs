//! Positions in a file.

use std::ops::Range;

use crate::{
    check::Rule,
    mistake::{Mistake, Mistakes, Origin},
};

/// Longest excerpt of a file in a report, in characters.
const EXCERPT_LENGTH: usize = 60;

/// The file's text.
///
/// # Errors
///
/// [`Mistakes`] with the first byte that is not UTF-8.
pub fn as_text<'a>(file_name: &str, bytes: &'a [u8]) -> Result<&'a str, Mistakes> {
    let error = match std::str::from_utf8(bytes) {
        Ok(text) => return Ok(text),
        Err(error) => error,
    };
    let text = String::from_utf8_lossy(bytes);
    let at = error.valid_up_to();
    let mistake = Mistake {
        rule: Rule::Encoding,
        file: file_name.to_owned(),
        origin: origin(&text, at..at + char::REPLACEMENT_CHARACTER.len_utf8()),
        field: "(file)".to_owned(),
        given: format!("byte 0x{:02x}", bytes[at]),
        allowed: "UTF-8 text".to_owned(),
        mend: "save the file as UTF-8".to_owned(),
    };
    Err(Mistakes::new(file_name, &text, vec![mistake]))
}

/// The position of a span.
pub fn origin(text: &str, span: Range<usize>) -> Origin {
    let start = floor_char_boundary(text, span.start);
    let before = &text[..start];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Origin::File {
        line: line_number(text, start),
        column: before[line_start..].chars().count() + 1,
        span: start..span.end.clamp(start, text.len()),
    }
}

/// The line of a byte, counted from 1.
pub fn line_number(text: &str, at: usize) -> usize {
    let before = &text.as_bytes()[..at.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The whole line of a byte, without its end.
pub fn line_at(text: &str, at: usize) -> &str {
    let at = floor_char_boundary(text, at);
    let start = text[..at].rfind('\n').map_or(0, |newline| newline + 1);
    let end = text[at..].find('\n').map_or(text.len(), |end| at + end);
    text[start..end].trim_end_matches('\r')
}

/// What stands in a span, cut to one short line.
pub fn excerpt(text: &str, span: &Range<usize>) -> String {
    let Some(given) = text.get(span.clone()) else {
        return String::new();
    };
    let line = given.lines().next().unwrap_or_default();
    let short: String = line.chars().take(EXCERPT_LENGTH).collect();
    if short.len() < given.len() {
        format!("{short}…")
    } else {
        short
    }
}

fn floor_char_boundary(text: &str, at: usize) -> usize {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}
