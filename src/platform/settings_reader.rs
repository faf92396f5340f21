//! Reads the optional values of the platform's settings file.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::de::IgnoredAny;

use crate::{
    platform::{
        host_settings::IgnoredSetting,
        settings_values::{self, Found, Item},
    },
    routing::Region,
};

/// Sections of the file that are read. All but `listen` and `platform` may be missing.
const SECTIONS: [&str; 5] = ["listen", "limits", "bounds", "platform", "cloud"];
/// What the log says about a part that is left out.
pub(super) const NO_DEFAULT: &str = "none";

/// An optional number: its key, what it is if the file has no usable value, and its range.
pub(super) struct Number {
    pub(super) section: &'static str,
    pub(super) key: &'static str,
    pub(super) default: f64,
    pub(super) min: f64,
    pub(super) max: f64,
}

/// Reads optional values, and collects those that it ignores.
pub(super) struct SettingsReader<'a> {
    pub(super) text: &'a str,
    /// Values that could not be used so far.
    pub(super) ignored: Vec<IgnoredSetting>,
}

impl SettingsReader<'_> {
    /// Collects a value that is ignored.
    pub(super) fn ignore(&mut self, path: &[&str], value: Box<str>, default: &str) {
        self.ignored.push(IgnoredSetting {
            key: path.join(".").into(),
            value,
            default: default.into(),
        });
    }

    /// Collects sections of another type; their values count as missing.
    pub(super) fn check_sections(&mut self) {
        for section in SECTIONS {
            let found: Found<HashMap<Item, IgnoredAny>> =
                settings_values::read(self.text, &[section]);
            if let Found::Other(value) = found {
                self.ignore(&[section], value, NO_DEFAULT);
            }
        }
    }

    pub(super) fn number(&mut self, number: &Number) -> f64 {
        let Number { section, key, default, min, max } = *number;
        let path = [section, key];
        match settings_values::read_number(self.text, &path) {
            Found::Missing => return default,
            Found::Value(value) if (min..=max).contains(&value) => return value,
            Found::Value(_) => {
                let value = settings_values::show(self.text, &path);
                self.ignore(&path, value, &default.to_string());
            }
            Found::Other(value) => self.ignore(&path, value, &default.to_string()),
        }
        default
    }

    pub(super) fn seconds(&mut self, number: &Number) -> Duration {
        Duration::from_secs_f64(self.number(number))
    }

    pub(super) fn milliseconds(&mut self, number: &Number) -> Duration {
        Duration::from_secs_f64(self.number(number) / 1e3)
    }

    /// A name outside the sections; empty if there is none.
    pub(super) fn name(&mut self, key: &str) -> Box<str> {
        match settings_values::read(self.text, &[key]) {
            Found::Value(name) => name,
            Found::Missing => Box::default(),
            Found::Other(value) => {
                self.ignore(&[key], value, NO_DEFAULT);
                Box::default()
            }
        }
    }

    pub(super) fn address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        let path = [section, key];
        match settings_values::read::<Box<str>>(self.text, &path) {
            Found::Missing => return None,
            Found::Value(text) => match text.parse() {
                Ok(address) => return Some(address),
                Err(_) => self.ignore(&path, settings_values::cut(&text), NO_DEFAULT),
            },
            Found::Other(value) => self.ignore(&path, value, NO_DEFAULT),
        }
        None
    }

    /// The texts of a list. Elements of another type are left out; the first one is collected.
    pub(super) fn texts(&mut self, path: &[&str]) -> Vec<Box<str>> {
        let items: Vec<Item> = match settings_values::read(self.text, path) {
            Found::Value(items) => items,
            Found::Missing => Vec::new(),
            Found::Other(value) => {
                self.ignore(path, value, NO_DEFAULT);
                Vec::new()
            }
        };
        if items.iter().any(|Item(text)| text.is_none()) {
            self.ignore(path, "an element that is no text".into(), NO_DEFAULT);
        }
        items.into_iter().filter_map(|Item(text)| text).collect()
    }

    /// Peer addresses of some entries. Those that are none are left out; the first one is collected.
    pub(super) fn seeds(&mut self) -> Vec<SocketAddr> {
        let path = ["seeds"];
        let texts = self.texts(&path);
        let addresses: Vec<_> = texts.iter().map(|text| text.parse().map_err(|_| text)).collect();
        if let Some(Err(text)) = addresses.iter().find(|address| address.is_err()) {
            self.ignore(&path, settings_values::cut(text), NO_DEFAULT);
        }
        addresses.into_iter().flatten().collect()
    }

    /// Region of each zone. Pairs that are no texts are left out; the first one is collected.
    pub(super) fn regions(&mut self) -> HashMap<Box<str>, Region> {
        let path = ["zones"];
        let pairs: HashMap<Item, Item> = match settings_values::read(self.text, &path) {
            Found::Value(pairs) => pairs,
            Found::Missing => HashMap::new(),
            Found::Other(value) => {
                self.ignore(&path, value, NO_DEFAULT);
                HashMap::new()
            }
        };
        let named = pairs.len();
        let regions: HashMap<Box<str>, Region> = pairs
            .into_iter()
            .filter_map(|(Item(zone), Item(region))| Some((zone?, region?)))
            .collect();
        if regions.len() < named {
            self.ignore(&path, "an element that is no text".into(), NO_DEFAULT);
        }
        regions
    }
}
