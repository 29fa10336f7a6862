//! Errors in the settings file.

/// Why the settings are invalid. The message names the file or the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file at this path could not be read.
    #[error("cannot read settings file {0}: {1}")]
    Read(String, std::io::Error),
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("settings: {0}")]
    Parse(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("settings: {field}: {reason}")]
    Field {
        /// The field's path in the file.
        field: String,
        /// Why the value is invalid.
        reason: InvalidValue,
    },
}

/// Why a field's value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// The list of zones is empty.
    #[error("must name at least one zone")]
    NoZone,
    /// Two entries have this name, or a peer has the id of this controller.
    #[error("'{0}' is named twice")]
    DuplicateName(String),
    /// The text is not an IPv4 address and port.
    #[error("'{0}' is not an IPv4 address and port")]
    NotAnAddress(String),
    /// The value is zero, negative or not finite.
    #[error("must be a positive number, not {0}")]
    NotPositive(f64),
    /// The value is negative or not finite.
    #[error("must not be negative")]
    Negative,
    /// A team's amount is negative or not finite.
    #[error("must be a number of at least 0, not {0}")]
    BadAmount(f64),
    /// A count is less than this minimum.
    #[error("must be at least {0}")]
    TooSmall(u32),
    /// A team's guaranteed quota exceeds its maximum.
    #[error("guaranteed quota {guarantee} exceeds the team's maximum {limit}")]
    GuaranteeAboveLimit {
        /// The guaranteed amount.
        guarantee: f64,
        /// The maximum amount.
        limit: f64,
    },
    /// The heartbeat interval is not shorter than the lease, so agents would lose their lease
    /// between two heartbeats.
    #[error("must be below lease_s")]
    NotBelowLease,
}

impl InvalidValue {
    /// The error for a field whose value is invalid for this reason.
    pub(super) fn for_field(self, field: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            reason: self,
        }
    }
}
