//! Scenarios that ship with the lab.

/// A scenario that ships with the lab.
#[derive(Debug, Clone, Copy)]
pub struct Shipped {
    /// Name to run it by.
    pub name: &'static str,
    /// Scenario file.
    pub scenario: &'static str,
}

/// Every scenario that ships with the lab.
pub const SHIPPED: &[Shipped] = &[
    Shipped {
        name: "feira",
        scenario: include_str!("../../scenarios/feira.toml"),
    },
    Shipped {
        name: "feira-faults",
        scenario: include_str!("../../scenarios/feira-faults.toml"),
    },
    Shipped {
        name: "peachline",
        scenario: include_str!("../../scenarios/peachline.toml"),
    },
    Shipped {
        name: "peachline-faults",
        scenario: include_str!("../../scenarios/peachline-faults.toml"),
    },
];

/// A configuration file that ships with the lab.
#[derive(Debug, Clone, Copy)]
struct ShippedConfiguration {
    file_name: &'static str,
    text: &'static str,
}

/// Configuration files of the shipped scenarios.
const CONFIGURATIONS: &[ShippedConfiguration] = &[
    ShippedConfiguration {
        file_name: "feira.templates.toml",
        text: include_str!("../../scenarios/feira.templates.toml"),
    },
    ShippedConfiguration {
        file_name: "peachline.templates.toml",
        text: include_str!("../../scenarios/peachline.templates.toml"),
    },
];

/// The text of a shipped scenario.
pub fn shipped_scenario(name: &str) -> Option<&'static str> {
    let shipped = SHIPPED.iter().find(|shipped| shipped.name == name)?;
    Some(shipped.scenario)
}

/// The text of a shipped configuration file.
pub fn shipped_configuration(file_name: &str) -> Option<&'static str> {
    let shipped = CONFIGURATIONS
        .iter()
        .find(|shipped| shipped.file_name == file_name)?;
    Some(shipped.text)
}
