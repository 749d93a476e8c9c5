//! A small JSON reader, enough for the bodies that nodes send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &[u8]) -> Json {
    let mut at = 0;
    value(text, &mut at).unwrap_or(Json::Null)
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        skip(text, at);
                        *at += 1; // the colon
                        table.insert(key, value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
        }
        b'"' => string(text, at).map(Json::Text),
        _ => {
            let from = *at;
            while text
                .get(*at)
                .is_some_and(|byte| !b",]} \n\r\t".contains(byte))
            {
                *at += 1;
            }
            let word = std::str::from_utf8(&text[from..*at]).ok()?;
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let letter = char::from_u32(code)?.encode_utf8(&mut buffer);
                        bytes.extend_from_slice(letter.as_bytes());
                        *at += 4;
                    }
                    other => bytes.push(other),
                }
            }
            other => bytes.push(other),
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().enumerate();
        let word = word.fold(0_u32, |word, (index, byte)| {
            word | u32::from(*byte) << (16 - 8 * index)
        });
        for index in 0..4 {
            if index <= chunk.len() {
                let letter = LETTERS[(word >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}
