//! Reads keys out of a TOML document and collects everything that is wrong with it.

use std::{ops::Range, str::FromStr};

use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::settings::{SettingsError, SettingsProblem};

/// A document being read.
pub(super) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    root: DeTable<'a>,
    read: Vec<Box<str>>,
    problems: Vec<SettingsProblem>,
    env: fn(&str) -> Option<String>,
}

impl<'a> Reader<'a> {
    /// Parses the text; a syntax error ends the reading at once.
    pub(super) fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsError> {
        let env = |name: &str| std::env::var(name).ok();
        match DeTable::parse(text) {
            Ok(root) => {
                let root = root.into_inner();
                Ok(Self { file, text, root, read: Vec::new(), problems: Vec::new(), env })
            }
            Err(e) => {
                let line = line_of(text, e.span().unwrap_or_default().start);
                let problem = format!("is not TOML: {}", e.message().trim()).into();
                let problem = SettingsProblem { line, key: "syntax".into(), problem };
                Err(SettingsError { file: file.into(), problems: vec![problem] })
            }
        }
    }

    /// Reads a key as a type with a text form, or takes `default`; no default means required.
    pub(super) fn get<T: FromStr>(
        &mut self,
        key: &str,
        wants: &str,
        default: Option<T>,
    ) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        self.read.push(key.into());
        let (text, line) = match self.find_text(key) {
            Found::Text(text, line) => (text, line),
            Found::Other(line) => {
                self.complain(line, key, &format!("must be {wants}"));
                return None;
            }
            Found::Nothing => {
                if default.is_none() {
                    self.complain(1, key, &format!("is missing; must be {wants}"));
                }
                return default;
            }
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.complain(line, key, &format!("`{text}` is wrong ({e}); must be {wants}"));
                None
            }
        }
    }

    /// Reads a key that may be left out.
    pub(super) fn get_optional<T: FromStr>(&mut self, key: &str, wants: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let missing = matches!(self.find_text(key), Found::Nothing);
        if missing {
            self.read.push(key.into());
            return None;
        }
        self.get(key, wants, None)
    }

    /// Notes a problem that more than one key makes.
    pub(super) fn complain_about(&mut self, key: &str, problem: &str) {
        let line = self.line_of_key(key);
        self.complain(line, key, problem);
    }

    /// Ends the reading: unknown keys are problems too.
    pub(super) fn finish(mut self) -> Result<(), SettingsError> {
        let mut unknown = Vec::new();
        collect_unknown(&self.root, "", &self.read, &mut unknown);
        for (key, span) in unknown {
            let line = line_of(self.text, span.start);
            let problem = match nearest(&key, &self.read) {
                Some(near) => format!("is not a key; did you mean `{near}`?"),
                None => "is not a key".into(),
            };
            self.complain(line, &key, &problem);
        }
        if self.problems.is_empty() {
            return Ok(());
        }
        self.problems.sort_by_key(|problem| problem.line);
        Err(SettingsError { file: self.file.into(), problems: self.problems })
    }

    fn complain(&mut self, line: usize, key: &str, problem: &str) {
        let problem = SettingsProblem { line, key: key.into(), problem: problem.into() };
        self.problems.push(problem);
    }

    /// An environment variable goes before the file: `MINTMOOR_LISTEN_CALLER` for `listen.caller`.
    fn find_text(&self, key: &str) -> Found {
        let name = format!("MINTMOOR_{}", key.replace('.', "_").to_uppercase());
        if let Some(text) = (self.env)(&name) {
            return Found::Text(text, 0);
        }
        let Some(value) = self.find(key) else {
            return Found::Nothing;
        };
        let line = line_of(self.text, value.span().start);
        match value.get_ref() {
            DeValue::String(text) => Found::Text(text.to_string(), line),
            DeValue::Integer(number) => Found::Text(number.to_string(), line),
            DeValue::Float(number) => Found::Text(number.to_string(), line),
            DeValue::Boolean(flag) => Found::Text(flag.to_string(), line),
            _ => Found::Other(line),
        }
    }

    fn find(&self, key: &str) -> Option<&Spanned<DeValue<'a>>> {
        let mut table = &self.root;
        let (path, last) = key.rsplit_once('.').unwrap_or(("", key));
        for part in path.split('.').filter(|part| !part.is_empty()) {
            table = table.get(part)?.get_ref().as_table()?;
        }
        table.get(last)
    }

    fn line_of_key(&self, key: &str) -> usize {
        self.find(key).map_or(1, |value| line_of(self.text, value.span().start))
    }
}

enum Found {
    Text(String, usize),
    Other(usize),
    Nothing,
}

fn line_of(text: &str, at: usize) -> usize {
    text[..at.min(text.len())].matches('\n').count() + 1
}

fn collect_unknown(
    table: &DeTable<'_>,
    prefix: &str,
    read: &[Box<str>],
    unknown: &mut Vec<(Box<str>, Range<usize>)>,
) {
    for (key, value) in table {
        let path: Box<str> = format!("{prefix}{}", key.get_ref()).into();
        let is_section = read.iter().any(|known| known.starts_with(&format!("{path}.")));
        match value.get_ref().as_table() {
            Some(inner) if is_section => {
                collect_unknown(inner, &format!("{path}."), read, unknown);
            }
            _ if read.contains(&path) => {}
            _ => unknown.push((path, key.span())),
        }
    }
}

/// The known key that shares the most with an unknown one, if they share enough.
fn nearest(key: &str, known: &[Box<str>]) -> Option<Box<str>> {
    let shared = |other: &str| {
        let front = key.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
        let back = key.bytes().rev().zip(other.bytes().rev()).take_while(|(a, b)| a == b).count();
        front + back
    };
    let best = known.iter().max_by_key(|other| shared(other))?;
    (shared(best) * 3 >= key.len() * 2).then(|| best.clone())
}
