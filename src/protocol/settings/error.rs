//! What can be wrong with the two settings files. The texts are shown to operators: they
//! name the files' fields.

/// A settings file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Why not.
        source: std::io::Error,
    },
    /// The file's content is not valid.
    #[error("{path} is not valid: {reason}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// What is wrong.
        #[source]
        reason: InvalidSettings,
    },
}

/// Why the text of a settings file is not valid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// Not JSON, or not of the fields and types expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Not protobuf text format, or not of the fields and types expected.
    #[error(transparent)]
    TextFormat(#[from] protobuf::text_format::ParseError),
    /// A field's value is not what it must be.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// A field whose value is not what it must be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} {requirement}")]
pub struct FieldError {
    /// Path of the field in the file.
    pub field: String,
    /// What its value must be.
    pub requirement: Requirement,
}

impl FieldError {
    /// The field does not meet the requirement.
    pub fn new(field: impl Into<String>, requirement: Requirement) -> Self {
        Self {
            field: field.into(),
            requirement,
        }
    }
}

/// What a field's value must be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Requirement {
    /// An address.
    #[error("must be IP:PORT, not {0:?}")]
    Address(String),
    /// Not below the minimum.
    #[error("must be at least {0}")]
    AtLeast(f64),
    /// As long as the agents' lease and some time more.
    #[error("must exceed lease_s by {0} s or more")]
    ExceedsLeaseSeconds(u64),
    /// A name.
    #[error("must be a name without spaces")]
    Name,
    /// Anything but nothing.
    #[error("must not be empty")]
    NotEmpty,
    /// Not above another field's value.
    #[error("must not exceed {0}")]
    NotAbove(&'static str),
    /// Zero or more.
    #[error("must not be negative")]
    NotNegative,
    /// Only the others.
    #[error("must not name this node")]
    NotThisNode,
    /// A number.
    #[error("must be a number")]
    Number,
    /// Above zero.
    #[error("must be positive")]
    Positive,
    /// A finite number above zero.
    #[error("must be a positive number")]
    PositiveNumber,
    /// A duration above zero.
    #[error("must be a positive number of seconds")]
    PositiveSeconds,
    /// A share of a whole.
    #[error("must be between 0 and 1, not {0}")]
    Share(f64),
}

/// What is wrong with settings although a process can start with them.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsWarning {
    /// The announced limits are no object.
    #[error("settings.state.next must be an object")]
    NextNotAnObject,
    /// An announced limit cannot be kept to.
    #[error("settings.state.next {0}")]
    NextLimit(FieldError),
    /// A team's guarantee can't be met by its limit.
    #[error("settings.teams {team}: {resource} guarantees {guaranteed}, above the limit {limit}")]
    GuaranteeAboveLimit {
        /// Name of the team.
        team: String,
        /// The resource, as the settings name it.
        resource: &'static str,
        /// What the team is guaranteed.
        guaranteed: f64,
        /// What the team may use at most.
        limit: f64,
    },
    /// A team's name stands more than once.
    #[error("settings.teams {0}: stands twice")]
    DuplicateTeam(String),
    /// More teams than a record of quota allocations can hold.
    #[error(
        "settings.teams: a record of all teams' budgets takes up to {record_bytes} bytes, above \
         the {value_bytes} of the state service's value_kb"
    )]
    TooManyTeams {
        /// Size that a record may reach.
        record_bytes: usize,
        /// Largest value of the key-value store.
        value_bytes: usize,
    },
}
