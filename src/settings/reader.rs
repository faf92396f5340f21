//! Reads values from a TOML document and collects all of its problems.

use std::{ops::Range, str::FromStr};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::settings::{SettingsError, SettingsProblem};

/// Reads values by key and records the problems found.
pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    root: DeTable<'a>,
    /// Keys requested so far. `finish` reports all other keys of the document as unknown.
    known_keys: Vec<Box<str>>,
    problems: Vec<SettingsProblem>,
    read_env: fn(&str) -> Option<String>,
}

impl<'a> Reader<'a> {
    /// Parses the text.
    ///
    /// # Errors
    /// A syntax error, as the only problem.
    pub(super) fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsError> {
        let read_env = |name: &str| std::env::var(name).ok();
        match DeTable::parse(text) {
            Ok(root) => {
                let root = root.into_inner();
                Ok(Self {
                    file,
                    text,
                    root,
                    known_keys: Vec::new(),
                    problems: Vec::new(),
                    read_env,
                })
            }
            Err(e) => {
                let line = line_of(text, e.span().unwrap_or_default().start);
                let problem = format!("invalid TOML: {}", e.message().trim()).into();
                let problem = SettingsProblem { line, key: "syntax".into(), problem };
                Err(SettingsError { file: file.into(), problems: vec![problem] })
            }
        }
    }

    /// Parses the value of a key, or returns `default` if the key is missing. A key without a default
    /// is required. `expected` describes valid values in the error message.
    pub(super) fn get<T: FromStr>(
        &mut self,
        key: &str,
        expected: &str,
        default: Option<T>,
    ) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        self.known_keys.push(key.into());
        let (text, line) = match self.find_text(key) {
            Lookup::Scalar(text, line) => (text, line),
            Lookup::NotScalar(line) => {
                self.add_problem(line, key, &format!("expected {expected}"));
                return None;
            }
            Lookup::Missing => {
                if default.is_none() {
                    self.add_problem(1, key, &format!("missing; expected {expected}"));
                }
                return default;
            }
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_problem(
                    line,
                    key,
                    &format!("invalid value `{text}` ({e}); expected {expected}"),
                );
                None
            }
        }
    }

    /// Parses the value of a key that may be missing.
    pub(super) fn get_optional<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let missing = matches!(self.find_text(key), Lookup::Missing);
        if missing {
            self.known_keys.push(key.into());
            return None;
        }
        self.get(key, expected, None)
    }

    /// Records a problem with a value that was read, or with a combination of keys.
    pub(super) fn add_problem_at_key(&mut self, key: &str, problem: &str) {
        let line = self.line_of_key(key);
        self.add_problem(line, key, problem);
    }

    /// Finishes the reading and checks for unknown keys.
    ///
    /// # Errors
    /// All recorded problems and unknown keys, sorted by line.
    pub(super) fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        collect_unknown(&self.root, "", &self.known_keys, &mut unknown);
        for (key, span) in unknown {
            let line = line_of(self.text, span.start);
            let problem = match closest_known_key(&key, &self.known_keys) {
                Some(known) => format!("unknown key; did you mean `{known}`?"),
                None => "unknown key".into(),
            };
            self.add_problem(line, &key, &problem);
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(SettingsError { file: self.file.into(), problems: self.problems })
    }

    fn add_problem(&mut self, line: usize, key: &str, problem: &str) {
        let problem = SettingsProblem { line, key: key.into(), problem: problem.into() };
        self.problems.push(problem);
    }

    /// Looks up a value as text. An environment variable, such as `MINTMOOR_LISTEN_CALLER` for
    /// `listen.caller`, overrides the file.
    fn find_text(&self, key: &str) -> Lookup {
        let name = format!("MINTMOOR_{}", key.replace('.', "_").to_uppercase());
        if let Some(text) = (self.read_env)(&name) {
            return Lookup::Scalar(text, 0);
        }
        let Some(value) = self.find_value(key) else {
            return Lookup::Missing;
        };
        let line = line_of(self.text, value.span().start);
        match value.get_ref() {
            DeValue::String(text) => Lookup::Scalar(text.to_string(), line),
            DeValue::Integer(number) => Lookup::Scalar(number.to_string(), line),
            DeValue::Float(number) => Lookup::Scalar(number.to_string(), line),
            DeValue::Boolean(flag) => Lookup::Scalar(flag.to_string(), line),
            _ => Lookup::NotScalar(line),
        }
    }

    fn find_value(&self, key: &str) -> Option<&Spanned<DeValue<'a>>> {
        let mut table = &self.root;
        let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
        for part in path.split('.').filter(|part| !part.is_empty()) {
            table = table.get(part)?.get_ref().as_table()?;
        }
        table.get(last)
    }

    fn line_of_key(&self, key: &str) -> usize {
        self.find_value(key).map_or(1, |value| line_of(self.text, value.span().start))
    }
}

/// Result of looking up a key.
enum Lookup {
    /// A scalar value as text, and its line; 0 for an environment variable.
    Scalar(String, usize),
    /// Line of an array, a table or a date.
    NotScalar(usize),
    Missing,
}

/// Line number of a byte offset, starting at 1.
fn line_of(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// Collects keys that are neither known nor a section of a known key.
fn collect_unknown(
    table: &DeTable<'_>,
    prefix: &str,
    known_keys: &[Box<str>],
    unknown: &mut Vec<(Box<str>, Range<usize>)>,
) {
    for (key, value) in table {
        let path: Box<str> = format!("{prefix}{}", key.get_ref()).into();
        let is_section = known_keys.iter().any(|known| known.starts_with(&format!("{path}.")));
        match value.get_ref().as_table() {
            Some(inner) if is_section => {
                collect_unknown(inner, &format!("{path}."), known_keys, unknown);
            }
            _ if known_keys.contains(&path) => {}
            _ => unknown.push((path, key.span())),
        }
    }
}

/// The known key that has the longest common prefix and suffix with an unknown key. `None` if they are
/// shorter than two thirds of the unknown key.
fn closest_known_key(key: &str, known_keys: &[Box<str>]) -> Option<Box<str>> {
    let common_len = |other: &str| {
        let prefix = key.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
        let suffix = key.bytes().rev().zip(other.bytes().rev()).take_while(|(a, b)| a == b).count();
        prefix + suffix
    };
    let best = known_keys.iter().max_by_key(|other| common_len(other))?;
    (common_len(best) * 3 >= key.len() * 2).then(|| best.clone())
}
