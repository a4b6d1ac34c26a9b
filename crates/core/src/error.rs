//! The error of this package: a code, a category and a place.

use std::fmt;

/// Result of the fallible operations of this package.
pub type Result<T> = std::result::Result<T, Error>;

/// An error with a code, a category and the place that it concerns.
///
/// The content is boxed, so that a `Result` stays as small as its value.
pub struct Error {
    inner: Box<ErrorImpl>,
}

struct ErrorImpl {
    code: Code,
    location: Location,
    message: String,
}

/// What went wrong, as a closed set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// A settings file or subtree has at least one finding.
    InvalidSettings,
    /// A log record or message does not decode.
    Undecodable,
    /// A signature is missing or wrong.
    BadSignature,
    /// A value is out of its range.
    OutOfRange,
    /// The other side speaks an unsupported protocol version.
    UnsupportedVersion,
    /// An outside system did not answer as documented.
    Unavailable,
}

/// The group of an error, which tells who can mend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is wrong; sending it again does not help.
    Data,
    /// The sender is not allowed to do this.
    Access,
    /// The other side is at fault or absent; a retry may help.
    Io,
}

/// Where an error lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// No place is known.
    Unknown,
    /// A line and column of a file, both counted from 1.
    File {
        /// Path or name of the file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
    },
    /// A record of a log stream.
    Record {
        /// Stream name.
        stream: String,
        /// Offset of the record.
        offset: u64,
    },
    /// A network address.
    Address(String),
}

impl Error {
    /// Creates an error.
    pub fn new(code: Code, location: Location, message: impl Into<String>) -> Self {
        let inner = ErrorImpl {
            code,
            location,
            message: message.into(),
        };
        Self {
            inner: Box::new(inner),
        }
    }

    /// Returns the code.
    pub fn code(&self) -> Code {
        self.inner.code
    }

    /// Returns the place that the error concerns.
    pub fn location(&self) -> &Location {
        &self.inner.location
    }

    /// Returns the category of the code.
    pub fn category(&self) -> Category {
        match self.inner.code {
            Code::InvalidSettings | Code::Undecodable | Code::OutOfRange => Category::Data,
            Code::BadSignature => Category::Access,
            Code::UnsupportedVersion | Code::Unavailable => Category::Io,
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown location"),
            Self::File { file, line, column } => write!(f, "{file}:{line}:{column}"),
            Self::Record { stream, offset } => write!(f, "stream {stream}, offset {offset}"),
            Self::Address(address) => f.write_str(address),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.inner.location {
            Location::Unknown => f.write_str(&self.inner.message),
            location => write!(f, "{location}: {}", self.inner.message),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.inner.code, self.to_string())
    }
}

impl std::error::Error for Error {}
