//! Scenarios that ship with the lab, and loading of any scenario by name or path.

use std::path::Path;

use miette::{NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

use super::{LoadError, Scenario};

/// A scenario that ships with the lab.
#[derive(Debug, Clone, Copy)]
pub struct Shipped {
    /// Name to run it by.
    pub name: &'static str,
    /// Scenario file.
    pub scenario: &'static str,
    /// Configuration file.
    pub configuration: &'static str,
}

/// Every scenario that ships with the lab.
pub const SHIPPED: &[Shipped] = &[
    Shipped {
        name: "feira",
        scenario: include_str!("../../scenarios/feira.toml"),
        configuration: include_str!("../../scenarios/feira.templates.toml"),
    },
    Shipped {
        name: "peachline",
        scenario: include_str!("../../scenarios/peachline.toml"),
        configuration: include_str!("../../scenarios/peachline.templates.toml"),
    },
];

impl Scenario {
    /// Loads and checks a shipped scenario by name, or else a scenario file by path.
    ///
    /// # Errors
    ///
    /// [`LoadError`] when a file can't be read or has mistakes.
    pub fn load(name_or_path: &str) -> Result<Self, LoadError> {
        match SHIPPED.iter().find(|shipped| shipped.name == name_or_path) {
            Some(shipped) => Self::from_texts(name_or_path, shipped.scenario, |_| {
                Ok(shipped.configuration.to_owned())
            }),
            None => {
                let path = Path::new(name_or_path);
                Self::from_texts(name_or_path, &read(path)?, |file| {
                    read(&path.with_file_name(file))
                })
            }
        }
    }

    fn from_texts(
        path: &str,
        scenario_text: &str,
        read_configuration: impl FnOnce(&str) -> Result<String, LoadError>,
    ) -> Result<Self, LoadError> {
        let mut scenario: Self = parse(path, scenario_text)?;
        let configuration_text = read_configuration(&scenario.configuration_file)?;
        scenario.configuration = parse(&scenario.configuration_file, &configuration_text)?;
        let mistakes = scenario.mistakes();
        if mistakes.is_empty() {
            return Ok(scenario);
        }
        Err(LoadError::Mistakes {
            path: path.to_owned(),
            mistakes,
        })
    }
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: path.display().to_string(),
        source,
    })
}

fn parse<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, LoadError> {
    toml::from_str(text).map_err(|error| LoadError::Syntax {
        path: path.to_owned(),
        message: error.message().to_owned(),
        text: NamedSource::new(path, text.to_owned()),
        span: error.span().map(SourceSpan::from),
    })
}
