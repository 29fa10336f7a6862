//! Format versions: which forms of stored records and messages may be written, so
//! that controllers of several builds can run side by side. This module does not
//! depend on the leader. Operators' texts call a format version a level.
//!
//! Every build supports a range of versions and reads all forms of that range. The
//! active version determines which form is written. It advances by one, once every
//! controller has run a build that supports the next version for a while, in a
//! transaction that compares every controller's member record; it never decreases.
//! `docs/notes/levels.md` gives the reasons.

pub mod chunk_progress;
pub mod member_versions;

use serde::{Deserialize, Serialize};

/// The number of a format version; 0 is the form before format versions existed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FormatVersion(pub u32);

impl std::fmt::Display for FormatVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FormatVersion {
    /// The version after this one, whether or not this build supports it.
    #[must_use]
    pub fn next(self) -> FormatVersion {
        FormatVersion(self.0 + 1)
    }

    /// The version's name, or a text that says that this build does not know it.
    pub fn name(self) -> &'static str {
        let mut known = KNOWN_VERSIONS.iter().filter(|s| s.version == self);
        known.next().map_or("not known to this build", |s| s.name)
    }
}

/// An entry of the table of known format versions.
#[derive(Clone, Copy, Debug)]
pub struct VersionInfo {
    /// The format version.
    pub version: FormatVersion,
    /// The version's name, as `/inspect` shows it.
    pub name: &'static str,
    /// What is stored or sent differently from this version on.
    pub changes: &'static str,
    /// Which builds still read the form of the previous version.
    pub older_form_readers: &'static str,
}

/// The form of records stored by builds without format versions.
pub const UNVERSIONED: FormatVersion = FormatVersion(0);
/// From this version on, builds without format versions are fenced off: they can no
/// longer become leader.
pub const FENCED: FormatVersion = FormatVersion(1);
/// From this version on, the arrival history is stored, and task progress is stored in
/// a smaller form.
pub const WITH_HISTORY: FormatVersion = FormatVersion(2);

/// All format versions that this build knows, in order.
pub const KNOWN_VERSIONS: [VersionInfo; 3] = [
    VersionInfo {
        version: UNVERSIONED,
        name: "before",
        changes: "as builds stored it that know no levels; the leader's key is w/leader",
        older_form_readers: "-",
    },
    VersionInfo {
        version: FENCED,
        name: "fenced",
        changes: "the leader's key is w/leader/holder; w/leader stands for good and names nobody, so that builds without levels never lead",
        older_form_readers: "every build with levels",
    },
    VersionInfo {
        version: WITH_HISTORY,
        name: "remembered",
        changes: "r/ keeps places by machine; d/f keeps what came for each class and team of late",
        older_form_readers: "r/ in the old form: every build with levels; rewritten by the leader",
    },
];

/// The range of format versions that a build supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupportedVersions {
    /// The oldest version whose form the build reads.
    pub low: FormatVersion,
    /// The newest version whose form the build reads and writes.
    pub high: FormatVersion,
}

impl SupportedVersions {
    /// The range of this build.
    pub const SUPPORTED: SupportedVersions = SupportedVersions {
        low: KNOWN_VERSIONS[0].version,
        high: KNOWN_VERSIONS[KNOWN_VERSIONS.len() - 1].version,
    };

    /// Whether a version is in the range.
    pub fn contains(self, version: FormatVersion) -> bool {
        (self.low..=self.high).contains(&version)
    }
}

#[cfg(test)]
mod tests;
