//! Format versions: which forms of stored records and messages may be written, so
//! that controllers of several builds can run side by side. Plain values only;
//! nothing here knows the leader.
//!
//! Every build supports a range of versions and reads all forms of its range. The
//! active version says what may be written. It advances by one step, once every
//! controller has run a build that supports the next one for a while, in a
//! transaction that compares what each of them stored about itself; it never
//! decreases. `docs/notes/levels.md` gives the reasons.

pub mod chunk_progress;
pub mod member_versions;

use serde::{Deserialize, Serialize};

/// A format version.
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
    /// The next version.
    #[must_use]
    pub fn next(self) -> FormatVersion {
        FormatVersion(self.0 + 1)
    }

    /// Its name, if this build knows it, or a text that says that it does not.
    pub fn name(self) -> &'static str {
        let mut known = KNOWN_VERSIONS.iter().filter(|s| s.version == self);
        known.next().map_or("not known to this build", |s| s.name)
    }
}

/// A format version's line in the table of all known ones.
#[derive(Clone, Copy, Debug)]
pub struct VersionInfo {
    /// The format version.
    pub version: FormatVersion,
    /// Its name.
    pub name: &'static str,
    /// What is stored or sent differently since.
    pub since: &'static str,
    /// What still reads the form before it.
    pub older: &'static str,
}

/// Records as builds stored them that knew no format versions.
pub const UNVERSIONED: FormatVersion = FormatVersion(0);
/// From here on builds without format versions are fenced off: they never lead.
pub const FENCED: FormatVersion = FormatVersion(1);
/// From here on the arrival history is stored, and task progress in a smaller form.
pub const WITH_HISTORY: FormatVersion = FormatVersion(2);

/// All format versions that this build knows, in order.
pub const KNOWN_VERSIONS: [VersionInfo; 3] = [
    VersionInfo {
        version: UNVERSIONED,
        name: "before",
        since: "as builds stored it that know no levels; the leader's key is w/leader",
        older: "-",
    },
    VersionInfo {
        version: FENCED,
        name: "fenced",
        since: "the leader's key is w/leader/holder; w/leader stands for good and names nobody, so that builds without levels never lead",
        older: "every build with levels",
    },
    VersionInfo {
        version: WITH_HISTORY,
        name: "remembered",
        since: "r/ keeps places by machine; d/f keeps what came for each class and team of late",
        older: "r/ in the old form: every build with levels; rewritten by the leader",
    },
];

/// The range of format versions that a build supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupportedVersions {
    /// The oldest one, whose forms it reads.
    pub low: FormatVersion,
    /// The newest one, which it can write.
    pub high: FormatVersion,
}

impl SupportedVersions {
    /// The range of this build.
    pub const SUPPORTED: SupportedVersions = SupportedVersions {
        low: KNOWN_VERSIONS[0].version,
        high: KNOWN_VERSIONS[KNOWN_VERSIONS.len() - 1].version,
    };

    /// Whether a version is in the range.
    pub fn has(self, level: FormatVersion) -> bool {
        (self.low..=self.high).contains(&level)
    }
}

#[cfg(test)]
mod tests;
