//! Errors and warnings about the two settings files. Operators see the texts, which contain
//! the names of the files' fields.

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file's content is not valid.
    #[error("{path} is not valid: {reason}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// The first mistake found.
        #[source]
        reason: InvalidSettings,
    },
}

/// Why the text of a settings file is not valid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// The text is not JSON, or its fields or their types are wrong.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The text is not in protobuf text format, or its fields or their types are wrong.
    #[error(transparent)]
    TextFormat(#[from] protobuf::text_format::ParseError),
    /// A field has an invalid value.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// A field whose value does not meet a requirement.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} {requirement}")]
pub struct FieldError {
    /// Path of the field in the file.
    pub field: String,
    /// The requirement that its value does not meet.
    pub requirement: Requirement,
}

impl FieldError {
    /// Creates an error for a field that does not meet the requirement.
    pub fn new(field: impl Into<String>, requirement: Requirement) -> Self {
        Self {
            field: field.into(),
            requirement,
        }
    }
}

/// A requirement of a field's value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Requirement {
    /// An address as IP:PORT; contains the invalid value.
    #[error("must be IP:PORT, not {0:?}")]
    Address(String),
    /// A number not below this minimum.
    #[error("must be at least {0}")]
    AtLeast(f64),
    /// A time that exceeds the agents' lease by at least this number of seconds.
    #[error("must exceed lease_s by {0} s or more")]
    ExceedsLeaseSeconds(u64),
    /// A name that is not empty, not too long and without white space.
    #[error("must be a name without spaces")]
    Name,
    /// At least one entry.
    #[error("must not be empty")]
    NotEmpty,
    /// A number not above the value of the field with this name.
    #[error("must not exceed {0}")]
    NotAbove(&'static str),
    /// Zero or a positive number.
    #[error("must not be negative")]
    NotNegative,
    /// A list of other controllers, without this one.
    #[error("must not name this node")]
    NotThisNode,
    /// A number.
    #[error("must be a number")]
    Number,
    /// A number above zero.
    #[error("must be positive")]
    Positive,
    /// A finite number above zero.
    #[error("must be a positive number")]
    PositiveNumber,
    /// A duration above zero.
    #[error("must be a positive number of seconds")]
    PositiveSeconds,
    /// A number from 0 to 1; contains the invalid value.
    #[error("must be between 0 and 1, not {0}")]
    Share(f64),
}

/// A mistake in the settings that does not prevent a process from starting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsWarning {
    /// The announced limits are not a JSON object.
    #[error("settings.state.next must be an object")]
    NextNotAnObject,
    /// An announced limit is invalid, or too low to run with.
    #[error("settings.state.next {0}")]
    NextLimit(FieldError),
    /// A team's guarantee exceeds its limit.
    #[error("settings.teams {team}: {resource} guarantees {guaranteed}, above the limit {limit}")]
    GuaranteeAboveLimit {
        /// Name of the team.
        team: String,
        /// Name of the resource in the settings.
        resource: &'static str,
        /// Guaranteed amount of the resource.
        guaranteed: f64,
        /// Maximum amount of the resource that the team may use.
        limit: f64,
    },
    /// Several teams have the same name.
    #[error("settings.teams {0}: the name appears more than once")]
    DuplicateTeam(String),
    /// More teams than a record of quota allocations can hold.
    #[error(
        "settings.teams: a record of all teams' budgets takes up to {record_bytes} bytes, above \
         the {value_bytes} of the state service's value_kb"
    )]
    TooManyTeams {
        /// Maximum size that a record could reach, in bytes.
        record_bytes: usize,
        /// Maximum size of a value in the key-value store, in bytes.
        value_bytes: usize,
    },
}
