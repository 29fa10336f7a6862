//! What can be wrong with the settings file.

/// Why the settings cannot be used; the text names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// Not JSON, or a field is missing or of the wrong type.
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field has a value that cannot be used.
    #[error("settings: {field}: {reason}")]
    Field {
        /// The field's path in the file.
        field: String,
        /// Why its value cannot be used.
        reason: InvalidValue,
    },
}

/// Why a field's value cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// The list of zones is empty.
    #[error("must name a zone")]
    NoZone,
    /// Two entries have this name.
    #[error("'{0}' is named twice")]
    DuplicateName(String),
    /// Not an address.
    #[error("'{0}' is not an IPv4 address and port")]
    NotAnAddress(String),
    /// Zero, negative or not a number.
    #[error("must be a positive number, not {0}")]
    NotPositive(f64),
    /// Negative or not a number.
    #[error("must not be negative")]
    Negative,
    /// A team's amount is negative or not a number.
    #[error("must not be {0}")]
    BadAmount(f64),
    /// A count is too small.
    #[error("must be at least {0}")]
    TooSmall(u32),
    /// A team is guaranteed more than it may use.
    #[error("guarantee {guarantee} is over the limit {limit}")]
    GuaranteeAboveLimit {
        /// The guaranteed amount.
        guarantee: f64,
        /// The most it may use.
        limit: f64,
    },
    /// Agents would lose their lease between two heartbeats.
    #[error("must be below lease_s")]
    NotBelowLease,
}

impl InvalidValue {
    /// The error for a field with this value.
    pub(super) fn of(self, field: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            reason: self,
        }
    }
}
