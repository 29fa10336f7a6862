//! Levels: what may be stored and told, so that controllers of several builds can
//! run side by side, as plain values. Nothing here knows the leader.
//!
//! Every build serves a range of levels and reads all forms of its range. The level
//! in force says what may be written. It rises by one step, once every controller
//! has been there for a while with a build that serves the next one, in a commit
//! that compares what each of them wrote about itself; it never falls.
//! `docs/notes/levels.md` says why.

pub mod chunk_progress;
pub mod member_versions;

use serde::{Deserialize, Serialize};

/// A level.
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
    /// The one above.
    pub fn next(self) -> FormatVersion {
        FormatVersion(self.0 + 1)
    }

    /// Its name, if this build knows it.
    pub fn name(self) -> &'static str {
        let mut known = KNOWN_VERSIONS.iter().filter(|s| s.level == self);
        known.next().map_or("not known to this build", |s| s.name)
    }
}

/// A level's line in the table.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// The level.
    pub level: FormatVersion,
    /// Its name.
    pub name: &'static str,
    /// What is stored or told differently since.
    pub since: &'static str,
    /// What still reads the form before it.
    pub older: &'static str,
}

/// Before there were levels.
pub const UNVERSIONED: FormatVersion = FormatVersion(0);
/// Builds that know no levels are fenced.
pub const FENCED: FormatVersion = FormatVersion(1);
/// What a leader remembers is stored, and progress in a smaller form.
pub const WITH_HISTORY: FormatVersion = FormatVersion(2);

/// All levels that this build knows, in order.
pub const KNOWN_VERSIONS: [Step; 3] = [
    Step {
        level: UNVERSIONED,
        name: "before",
        since: "as builds stored it that know no levels; the leader's key is w/leader",
        older: "-",
    },
    Step {
        level: FENCED,
        name: "fenced",
        since: "the leader's key is w/leader/holder; w/leader stands for good and names nobody, so that builds without levels never lead",
        older: "every build with levels",
    },
    Step {
        level: WITH_HISTORY,
        name: "remembered",
        since: "r/ keeps places by machine; d/f keeps what came for each class and team of late",
        older: "r/ in the old form: every build with levels; rewritten by the leader",
    },
];

/// The levels that a build serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupportedVersions {
    /// The oldest whose forms it reads.
    pub low: FormatVersion,
    /// The newest that it can write.
    pub high: FormatVersion,
}

impl SupportedVersions {
    /// That of this build.
    pub const SUPPORTED: SupportedVersions = SupportedVersions {
        low: KNOWN_VERSIONS[0].level,
        high: KNOWN_VERSIONS[KNOWN_VERSIONS.len() - 1].level,
    };

    /// Whether a level is in it.
    pub fn has(self, level: FormatVersion) -> bool {
        (self.low..=self.high).contains(&level)
    }
}

#[cfg(test)]
mod tests;
