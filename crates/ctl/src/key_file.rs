//! Files that hold the private key of an operator.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::os::unix::fs::OpenOptionsExt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;
use waxwing_core::Name;
use waxwing_core::document::Document;

use crate::error::Error;
use crate::error::Result;

/// Permissions of a key file: only its owner may read and write it.
const MODE: u32 = 0o600;

/// Permissions that a key file must not have.
const MODE_OTHERS: u32 = 0o077;

/// Content of a key file.
#[derive(Debug)]
pub struct KeyFile {
    /// Name of the operator.
    pub operator: Name,
    /// Private key.
    pub key: SigningKey,
}

impl KeyFile {
    /// Creates a key for an operator.
    pub fn generate(operator: Name) -> Self {
        let key = SigningKey::from_bytes(&rand::random());
        Self { operator, key }
    }

    /// Returns the public key in base64, as settings hold it.
    pub fn public_key(&self) -> String {
        STANDARD.encode(self.key.verifying_key().as_bytes())
    }

    /// Writes a new file that only its owner may read.
    ///
    /// # Errors
    ///
    /// Fails if the operator's name is malformed, or if the file exists or cannot be written.
    pub fn write(&self, path: &str) -> Result<()> {
        let private_key = STANDARD.encode(self.key.to_bytes());
        let operator = &self.operator;
        let text = format!("operator = \"{operator}\"\nprivate_key = \"{private_key}\"\n");
        // A name that could not be read back is reported before the file exists.
        Self::parse(path, &text)?;
        let write_error = |source| file_error(path, source);
        let mut options = OpenOptions::new();
        let mut file = options
            .write(true)
            .create_new(true)
            .mode(MODE)
            .open(path)
            .map_err(write_error)?;
        file.write_all(text.as_bytes()).map_err(write_error)
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, may be read by others than its owner, or has findings.
    pub fn read(path: &str) -> Result<Self> {
        let metadata = std::fs::metadata(path).map_err(|source| file_error(path, source))?;
        if metadata.mode() & MODE_OTHERS != 0 {
            let message = "others than the owner have access to the key; use chmod 600";
            return Err(file_error(path, std::io::Error::other(message)));
        }
        Self::parse(path, &read_text(path)?)
    }

    fn parse(path: &str, text: &str) -> Result<Self> {
        let (document, root) = Document::parse(path, text);
        let mut table = document.root(&root);
        let operator = table.name("operator");
        let private_key = table.text("private_key");
        let key = private_key.as_deref().and_then(parse_key);
        if private_key.is_some() && key.is_none() {
            let remedy = "write 32 bytes in base64, as `waxwingctl key new` does";
            table.add("private_key", "private_key is malformed", remedy);
        }
        table.finish();
        document.finish()?;
        let missing = || Error::Usage(format!("{path}: the key is incomplete"));
        Ok(Self {
            operator: operator.ok_or_else(missing)?,
            key: key.ok_or_else(missing)?,
        })
    }
}

/// Reads a text file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not UTF-8.
pub fn read_text(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| file_error(path, source))
}

fn file_error(path: &str, source: std::io::Error) -> Error {
    Error::File {
        path: path.to_owned(),
        source,
    }
}

fn parse_key(text: &str) -> Option<SigningKey> {
    let bytes: [u8; 32] = STANDARD.decode(text).ok()?.try_into().ok()?;
    Some(SigningKey::from_bytes(&bytes))
}
