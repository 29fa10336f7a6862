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
pub struct Level(pub u32);

impl std::fmt::Display for Level {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Level {
    /// The one above.
    pub fn next(self) -> Level {
        Level(self.0 + 1)
    }

    /// Its name, if this build knows it.
    pub fn name(self) -> &'static str {
        let mut known = TABLE.iter().filter(|s| s.level == self);
        known.next().map_or("not known to this build", |s| s.name)
    }
}

/// A level's line in the table.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// The level.
    pub level: Level,
    /// Its name.
    pub name: &'static str,
    /// What is stored or told differently since.
    pub since: &'static str,
    /// What still reads the form before it.
    pub older: &'static str,
}

/// Before there were levels.
pub const BEFORE: Level = Level(0);
/// Builds that know no levels are fenced.
pub const FENCED: Level = Level(1);
/// What a leader remembers is stored, and progress in a smaller form.
pub const REMEMBERED: Level = Level(2);

/// All levels that this build knows, in order.
pub const TABLE: [Step; 3] = [
    Step {
        level: BEFORE,
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
        level: REMEMBERED,
        name: "remembered",
        since: "r/ keeps places by machine; d/f keeps what came for each class and team of late",
        older: "r/ in the old form: every build with levels; rewritten by the leader",
    },
];

/// The levels that a build serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The oldest whose forms it reads.
    pub low: Level,
    /// The newest that it can write.
    pub high: Level,
}

impl Range {
    /// That of this build.
    pub const OURS: Range = Range {
        low: TABLE[0].level,
        high: TABLE[TABLE.len() - 1].level,
    };

    /// Whether a level is in it.
    pub fn has(self, level: Level) -> bool {
        (self.low..=self.high).contains(&level)
    }
}

#[cfg(test)]
mod tests;
