//! TOML reader that collects all findings instead of stopping at the first.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::Range;
use std::ops::RangeInclusive;

use serde_spanned::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use crate::Name;
use crate::finding::Finding;
use crate::finding::Findings;
use crate::name::NAME_MAX_BYTES;

/// A TOML document under validation, with the findings so far.
#[derive(Debug)]
pub struct Document<'i> {
    file: &'i str,
    text: &'i str,
    /// Byte offset at which each line starts.
    line_starts: Vec<usize>,
    /// Byte offset and line of each syntax error.
    syntax_errors: Vec<(usize, usize)>,
    findings: RefCell<Vec<Finding>>,
}

/// A table of a document.
///
/// An invalid value is replaced by its default so that validation can continue. The result is never used, since
/// [`Document::finish`] then fails.
#[derive(Debug)]
pub struct Table<'d, 'i> {
    document: &'d Document<'i>,
    path: String,
    span: Range<usize>,
    table: &'d DeTable<'i>,
    /// Keys that the caller has asked for.
    known_keys: Vec<&'static str>,
}

impl<'i> Document<'i> {
    /// Parses a text; syntax errors become findings.
    pub fn parse(file: &'i str, text: &'i str) -> (Self, Spanned<DeTable<'i>>) {
        let (root, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            file,
            text,
            line_starts: find_line_starts(text),
            syntax_errors: Vec::new(),
            findings: RefCell::default(),
        };
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            let (line, _) = document.line_and_column(span.start);
            // The parser may report several errors for one malformed line.
            if document.has_syntax_error_on(line) {
                continue;
            }
            document.add(span.clone(), error.message(), "correct the TOML syntax");
            document.syntax_errors.push((span.start, line));
        }
        (document, root)
    }

    /// Adds a finding at a byte range.
    ///
    /// A line with a syntax error gets no further finding, since the parser substituted a placeholder for its value.
    pub fn add(&self, span: Range<usize>, message: impl Into<String>, remedy: impl Into<String>) {
        let (line, column) = self.line_and_column(span.start);
        if self.has_syntax_error_on(line) {
            return;
        }
        self.findings.borrow_mut().push(Finding {
            file: self.file.to_owned(),
            line,
            column,
            message: message.into(),
            remedy: remedy.into(),
        });
    }

    /// Ends validation.
    ///
    /// # Errors
    ///
    /// Fails with all findings if there are any.
    pub fn finish(self) -> Result<(), Findings> {
        let findings = self.findings.into_inner();
        if findings.is_empty() {
            return Ok(());
        }
        Err(Findings::new(findings))
    }

    /// Wraps the root table that [`Document::parse`] returned.
    pub fn root<'d>(&'d self, root: &'d Spanned<DeTable<'i>>) -> Table<'d, 'i> {
        Table {
            document: self,
            path: String::new(),
            span: 0..0,
            table: root.get_ref(),
            known_keys: Vec::new(),
        }
    }

    fn line_and_column(&self, start: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|at| *at <= start);
        let line_start = self.line_starts[line - 1];
        let before = self.text.get(line_start..start).unwrap_or("");
        let column = before.chars().count() + 1;
        (line, column)
    }

    fn has_syntax_error_on(&self, line: usize) -> bool {
        self.syntax_errors.iter().any(|(_, found)| *found == line)
    }

    /// Returns whether a syntax error lies in the table that starts at `start`.
    ///
    /// A key missing from such a table is not reported, since the error may hide it.
    fn has_syntax_error(&self, start: usize) -> bool {
        self.syntax_errors.iter().any(|(error, _)| {
            let between = self.text.get(start..*error);
            between.is_some_and(|between| !between.contains("\n["))
        })
    }
}

impl<'d, 'i> Table<'d, 'i> {
    /// Returns the dotted path of a key in the document.
    pub fn key_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.path)
    }

    /// Returns the byte range of a key's value, or of the table if the key is absent.
    pub fn span(&self, key: &str) -> Range<usize> {
        self.find(key)
            .map_or_else(|| self.span.clone(), |(_, value)| value.span())
    }

    /// Returns the line of a key's value, from 1.
    pub fn line(&self, key: &str) -> usize {
        self.document.line_and_column(self.span(key).start).0
    }

    /// Adds a finding at a key's value.
    pub fn add(&self, key: &str, message: impl Into<String>, remedy: impl Into<String>) {
        self.document.add(self.span(key), message, remedy);
    }

    /// Reads an integer within `bounds`; without a default the key is required.
    pub fn number<T>(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<T>,
        default: Option<T>,
    ) -> T
    where
        T: TryFrom<u64> + Copy + PartialOrd + Display,
    {
        let fallback = default.unwrap_or(*bounds.start());
        let remedy = format!(
            "write a whole number from {} to {}",
            bounds.start(),
            bounds.end()
        );
        let Some(value) = self.value(key, default.is_none(), &remedy) else {
            return fallback;
        };
        let DeValue::Integer(integer) = value.get_ref() else {
            self.add_type_error(key, value, &remedy);
            return fallback;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix());
        let number = number.ok().and_then(|number| T::try_from(number).ok());
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message = format!("{} is out of range", self.key_path(key));
                self.add(key, message, remedy);
                fallback
            }
        }
    }

    /// Reads an integer or floating-point number within `bounds`.
    pub fn fraction(
        &mut self,
        key: &'static str,
        bounds: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let remedy = format!("write a number from {} to {}", bounds.start(), bounds.end());
        let Some(value) = self.value(key, false, &remedy) else {
            return default;
        };
        let number = match value.get_ref() {
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            DeValue::Integer(integer) => integer.as_str().parse::<f64>().ok(),
            _ => {
                self.add_type_error(key, value, &remedy);
                return default;
            }
        };
        match number {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                let message = format!("{} is out of range", self.key_path(key));
                self.add(key, message, remedy);
                default
            }
        }
    }

    /// Reads a boolean.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let remedy = "write true or false";
        let Some(value) = self.value(key, false, remedy) else {
            return default;
        };
        value.get_ref().as_bool().unwrap_or_else(|| {
            self.add_type_error(key, value, remedy);
            default
        })
    }

    /// Reads one of several words; without a default the key is required.
    pub fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        words: &[(&str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let listed: Vec<String> = words
            .iter()
            .map(|(word, _)| format!("\"{word}\""))
            .collect();
        let remedy = format!("write one of {}", listed.join(", "));
        let Some(value) = self.value(key, default.is_none(), &remedy) else {
            return default;
        };
        let Some(text) = value.get_ref().as_str() else {
            self.add_type_error(key, value, &remedy);
            return default;
        };
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let message = format!("{} has the unknown value \"{text}\"", self.key_path(key));
            self.add(key, message, remedy);
        }
        found.map(|(_, value)| *value).or(default)
    }

    /// Reads a required name.
    pub fn name(&mut self, key: &'static str) -> Option<Name> {
        let remedy = "write a name in quotes";
        let value = self.value(key, true, remedy)?;
        let Some(text) = value.get_ref().as_str() else {
            self.add_type_error(key, value, remedy);
            return None;
        };
        self.check_name(&self.key_path(key), text, value.span());
        Some(Name::from(text))
    }

    /// Reads an IP address with a port; an absent optional address yields an empty string.
    pub fn address(&mut self, key: &'static str, is_required: bool) -> String {
        let remedy = "write an IP address and a port, for example \"10.0.0.1:8080\"";
        let Some(value) = self.value(key, is_required, remedy) else {
            return String::new();
        };
        let Some(text) = value.get_ref().as_str() else {
            self.add_type_error(key, value, remedy);
            return String::new();
        };
        if text.parse::<SocketAddr>().is_err() {
            let message = format!(
                "{} \"{text}\" is not an IP address and a port",
                self.key_path(key)
            );
            self.add(key, message, remedy);
        }
        text.to_owned()
    }

    /// Reads a required string.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        let remedy = "write a text in quotes";
        let value = self.value(key, true, remedy)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.add_type_error(key, value, remedy);
        }
        text.map(str::to_owned)
    }

    /// Reads an array of strings with their byte ranges; an absent array is empty.
    pub fn texts(&mut self, key: &'static str) -> Vec<Spanned<String>> {
        let remedy = "write a list of texts, for example [\"a\", \"b\"]";
        let Some(value) = self.value(key, false, remedy) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.add_type_error(key, value, remedy);
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in array.iter() {
            match item.get_ref().as_str() {
                Some(text) => texts.push(Spanned::new(item.span(), text.to_owned())),
                None => self.add_type_error(key, item, remedy),
            }
        }
        texts
    }

    /// Reads an array of names; an absent array is empty.
    pub fn names(&mut self, key: &'static str) -> Vec<Name> {
        let mut names = Vec::new();
        for text in self.texts(key) {
            self.check_name(&self.key_path(key), text.get_ref(), text.span());
            names.push(Name::from(text.into_inner()));
        }
        names
    }

    /// Reads an optional table.
    pub fn table(&mut self, key: &'static str) -> Option<Table<'d, 'i>> {
        let remedy = format!("write a table [{}]", self.key_path(key));
        let value = self.value(key, false, &remedy)?;
        let Some(table) = value.get_ref().as_table() else {
            self.add_type_error(key, value, &remedy);
            return None;
        };
        let span = self.find(key).map_or(0..0, |(span, _)| span);
        Some(self.child_table(self.key_path(key), span, table))
    }

    /// Reads a required table; if it is absent, only the table is reported and not its keys.
    pub fn required_table(&mut self, key: &'static str) -> Option<Table<'d, 'i>> {
        let remedy = format!("add a table [{}]", self.key_path(key));
        self.value(key, true, &remedy)?;
        self.table(key)
    }

    /// Reads the named subtables of a table; an absent table has none.
    pub fn tables(&mut self, key: &'static str) -> Vec<(Name, Table<'d, 'i>)> {
        let Some(parent) = self.table(key) else {
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (name, value) in parent.table.iter() {
            let path = parent.key_path(name.get_ref());
            self.check_name(&path, name.get_ref(), name.span());
            match value.get_ref().as_table() {
                Some(table) => {
                    let child = self.child_table(path, name.span(), table);
                    tables.push((Name::from(name.get_ref().as_ref()), child));
                }
                None => {
                    parent.add_type_error(name.get_ref(), value, &format!("write a table [{path}]"))
                }
            }
        }
        tables
    }

    /// Reads an array of tables; an absent array is empty.
    pub fn list(&mut self, key: &'static str) -> Vec<Table<'d, 'i>> {
        let path = self.key_path(key);
        let remedy = format!("write tables [[{path}]]");
        let Some(value) = self.value(key, false, &remedy) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.add_type_error(key, value, &remedy);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in array.iter() {
            match item.get_ref().as_table() {
                Some(table) => tables.push(self.child_table(path.clone(), item.span(), table)),
                None => self.add_type_error(key, item, &remedy),
            }
        }
        tables
    }

    /// Reports the keys that were never read as unknown.
    pub fn finish(self) {
        for key in self.table.keys() {
            if self.known_keys.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let message = format!("unknown key {}", self.key_path(key.get_ref()));
            let remedy = format!("remove it or use one of: {}", self.known_keys.join(", "));
            self.document.add(key.span(), message, remedy);
        }
    }

    fn find(&self, key: &str) -> Option<(Range<usize>, &'d Spanned<DeValue<'i>>)> {
        let mut pairs = self.table.iter();
        let (found, value) = pairs.find(|(name, _)| name.get_ref().as_ref() == key)?;
        Some((found.span(), value))
    }

    fn value(
        &mut self,
        key: &'static str,
        is_required: bool,
        remedy: &str,
    ) -> Option<&'d Spanned<DeValue<'i>>> {
        if !self.known_keys.contains(&key) {
            self.known_keys.push(key);
        }
        let found = self.find(key).map(|(_, value)| value);
        if found.is_none() && is_required && !self.document.has_syntax_error(self.span.start) {
            let message = format!("{} is missing", self.key_path(key));
            self.document.add(self.span.clone(), message, remedy);
        }
        found
    }

    fn add_type_error(&self, key: &str, value: &Spanned<DeValue<'i>>, remedy: &str) {
        let path = self.key_path(key);
        let message = format!("{path} has the wrong type: {}", value.get_ref().type_str());
        self.document.add(value.span(), message, remedy);
    }

    fn check_name(&self, path: &str, name: &str, span: Range<usize>) {
        if Name::is_well_formed(name) {
            return;
        }
        let remedy = format!("use 1 to {NAME_MAX_BYTES} letters, digits, '-', '_' or '.'");
        self.document
            .add(span, format!("{path}: \"{name}\" is not a name"), remedy);
    }

    fn child_table(
        &self,
        path: String,
        span: Range<usize>,
        table: &'d DeTable<'i>,
    ) -> Table<'d, 'i> {
        Table {
            document: self.document,
            path,
            span,
            table,
            known_keys: Vec::new(),
        }
    }
}

fn find_line_starts(text: &str) -> Vec<usize> {
    let ends = text.match_indices('\n');
    let mut starts = vec![0];
    starts.extend(ends.map(|(at, _)| at + 1));
    starts
}
