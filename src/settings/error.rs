//! Errors of the settings layer.

use std::fmt;

/// One thing wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Line, from 1.
    pub line: usize,
    /// Dotted key.
    pub key: Box<str>,
    /// What is wrong and what would be right.
    pub problem: Box<str>,
}

/// Everything wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: Box<str>,
    /// In the order of their lines.
    pub problems: Vec<SettingsProblem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, SettingsProblem { line, key, problem }) in self.problems.iter().enumerate() {
            let end = if i + 1 < self.problems.len() { "\n" } else { "" };
            write!(f, "{}:{line}: {key}: {problem}{end}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
