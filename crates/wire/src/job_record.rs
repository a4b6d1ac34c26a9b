//! Records of the log stream `jobs`.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use waxwing_core::Error;
use waxwing_core::Name;
use waxwing_core::Result;
use waxwing_core::error::Code;
use waxwing_core::error::Location;
use waxwing_core::state::jobs::JobResult;
use waxwing_core::state::jobs::Submission;

use crate::platform::Record;

/// Stream that carries the jobs.
pub const STREAM: &str = "jobs";

/// A record of the stream `jobs`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum JobRecord {
    /// Submission of a job, appended again if the job is still pending after half of the retention time.
    Submitted {
        /// Job.
        id: Uuid,
        /// Organisation that submitted it.
        organisation: Name,
        /// Class, with the team as prefix.
        class: Name,
        /// Chat-completions body.
        body: String,
    },
    /// Final response of a job; only the first such record of a job is used.
    Finished {
        /// Job.
        id: Uuid,
        /// Organisation that submitted it.
        organisation: Name,
        /// HTTP status code.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: String,
    },
}

impl JobRecord {
    /// Creates the record of a submission.
    pub fn from_submission(id: Uuid, submission: Submission) -> Self {
        Self::Submitted {
            id,
            organisation: submission.organisation,
            class: submission.class,
            body: submission.body,
        }
    }

    /// Creates the record of a result.
    pub fn from_result(id: Uuid, organisation: Name, result: JobResult) -> Self {
        Self::Finished {
            id,
            organisation,
            status: result.status,
            content_type: result.content_type,
            body: result.body,
        }
    }

    /// Encodes the record as the data of a log record.
    pub fn encode(&self) -> String {
        // Serialization of strings, numbers and names cannot fail.
        STANDARD.encode(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Undecodable`] and the offset of the record if it cannot be decoded.
    pub fn decode(record: &Record) -> Result<Self> {
        let record_error = |message: String| {
            let location = Location::Record {
                stream: STREAM.to_owned(),
                offset: record.offset,
            };
            Error::new(Code::Undecodable, location, message)
        };
        let bytes = STANDARD
            .decode(&record.data)
            .map_err(|error| record_error(error.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|error| record_error(error.to_string()))
    }
}
