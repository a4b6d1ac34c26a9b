//! Error type of this crate: a code, a category and a location.

use std::fmt;

/// Result type of this crate's fallible operations.
pub type Result<T> = std::result::Result<T, Error>;

/// An error with a code, a category and the location that it concerns.
///
/// The contents are boxed to keep `Result` small.
pub struct Error {
    inner: Box<ErrorImpl>,
}

struct ErrorImpl {
    code: Code,
    location: Location,
    message: String,
}

/// Kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Code {
    /// A settings file or subtree has at least one finding.
    InvalidSettings,
    /// A log record or message cannot be decoded.
    Undecodable,
    /// A signature is missing or wrong.
    BadSignature,
    /// A value is out of its range.
    OutOfRange,
    /// The peer uses an unsupported protocol version.
    UnsupportedVersion,
    /// An external system did not answer as documented.
    Unavailable,
}

/// Category of an error by what the caller can do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is invalid; sending it again does not help.
    Data,
    /// The sender lacks permission.
    Access,
    /// The remote system failed or is unreachable; a retry may help.
    Io,
}

/// Location that an error concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// Location unknown.
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
        /// Name of the stream.
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

    /// Returns the location that the error concerns.
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
