//! How a TOML value becomes a value of a field.

use std::net::SocketAddr;

use tallybridge_core::{Criticality, RegionName, ServiceName, TemplateName, TenantName, ZoneName};
use toml::de::DeValue;

use crate::{check::Rule, template::RetryOn};

/// Why a value can't be read.
pub struct Unreadable {
    /// The rule that it breaks.
    pub rule: Rule,
    /// What the field takes.
    pub allowed: String,
    /// What to do about it.
    pub mend: String,
}

impl Unreadable {
    /// The value is of another type.
    pub fn wrong_type(allowed: &str) -> Self {
        Self {
            rule: Rule::WrongType,
            allowed: allowed.to_owned(),
            mend: format!("write {allowed}"),
        }
    }

    fn unknown_value(names: &[String]) -> Self {
        Self {
            rule: Rule::UnknownValue,
            allowed: names.join(", "),
            mend: "choose one of the list".to_owned(),
        }
    }
}

/// A type that a field's value can have.
pub trait FieldValue: Sized {
    /// Reads the value.
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable>;

    /// What stands for a value that can't be read.
    fn placeholder() -> Self;
}

impl FieldValue for String {
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
        let text = value.as_str();
        text.map(str::to_owned)
            .ok_or_else(|| Unreadable::wrong_type("a text in quotes"))
    }

    fn placeholder() -> Self {
        Self::new()
    }
}

macro_rules! read_as_text {
    ($($name:ty),*) => {
        $(impl FieldValue for $name {
            fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
                String::read(value).map(Self::from)
            }

            fn placeholder() -> Self {
                Self::from("")
            }
        })*
    };
}

read_as_text!(RegionName, ServiceName, TemplateName, TenantName, ZoneName);

impl FieldValue for bool {
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
        value
            .as_bool()
            .ok_or_else(|| Unreadable::wrong_type("true or false"))
    }

    fn placeholder() -> Self {
        false
    }
}

impl FieldValue for SocketAddr {
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
        let text = value.as_str().and_then(|text| text.parse().ok());
        text.ok_or_else(|| {
            Unreadable::wrong_type("an IP address and port in quotes, as in \"192.0.2.7:7401\"")
        })
    }

    fn placeholder() -> Self {
        Self::from(([127, 0, 0, 1], 0))
    }
}

impl FieldValue for Criticality {
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
        let mut classes = Self::ALL.into_iter();
        let class = classes.find(|class| value.as_str() == Some(&class.to_string()));
        class.ok_or_else(|| Unreadable::unknown_value(&Self::ALL.map(|class| quoted(&class))))
    }

    fn placeholder() -> Self {
        Self::default()
    }
}

impl FieldValue for RetryOn {
    fn read(value: &DeValue<'_>) -> Result<Self, Unreadable> {
        let mut choices = Self::ALL.into_iter();
        let choice = choices.find(|choice| value.as_str() == Some(choice.as_str()));
        choice.ok_or_else(|| {
            Unreadable::unknown_value(&Self::ALL.map(|choice| quoted(&choice.as_str())))
        })
    }

    fn placeholder() -> Self {
        Self::default()
    }
}

fn quoted(name: &impl std::fmt::Display) -> String {
    format!("\"{name}\"")
}

/// The integer of a value, or `None` when it is none; one beyond 128 bits counts as the greatest.
pub fn integer(value: &DeValue<'_>) -> Option<i128> {
    let integer = value.as_integer()?;
    let parsed = i128::from_str_radix(integer.as_str(), integer.radix());
    let saturated = if integer.as_str().starts_with('-') {
        i128::MIN
    } else {
        i128::MAX
    };
    Some(parsed.unwrap_or(saturated))
}
