//! Errors of settings files.

use std::fmt;

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Line number, starting at 1; 0 if the text of an environment variable could not be parsed.
    pub line: usize,
    /// Key with its sections, such as `listen.caller`.
    pub key: Box<str>,
    /// Description of the problem and of the expected value.
    pub problem: Box<str>,
}

/// All problems of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: Box<str>,
    /// Problems sorted by line.
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
