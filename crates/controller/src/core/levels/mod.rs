//! Levels: what may be stored and told, so that controllers of several builds can
//! run side by side, as plain values. Nothing here knows the leader.
//!
//! Every build serves a range of levels and reads all forms of its range. The level
//! in force says what may be written. It rises by one step, once every controller
//! has been there for a while with a build that serves the next one, in a commit
//! that compares what each of them wrote about itself; it never falls.
//! `docs/notes/levels.md` says why.

pub mod progress;
pub mod registry;

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
mod tests {
    use super::*;

    // Every record but a chunk's (`progress`) has one form in all levels so far, as it
    // was first stored. A change of one is a new level, or stored work is lost.
    #[test]
    fn every_record_is_read_as_it_was_first_stored() {
        use crate::core::duty::{aside::Asides, intents::Intents};
        use crate::core::ledger::{self, Assembly, Head, HeadStage, LeaderValue};
        use crate::core::teams::memory::Memory;
        use crate::types::{Span, Token, Version, Wall};
        use serde_json::json;

        let head = json!({"s": "p", "n": 3});
        assert_eq!(ledger::head_value(HeadStage::Open, 3), head);
        for (s, stage) in [("d", HeadStage::Done), ("c", HeadStage::Cancelled)] {
            let read = ledger::read::<Head>(&json!({"s": s, "n": 3}));
            assert_eq!(read.map(|h| h.s), Some(stage));
        }
        let leader = json!({"label": "node-1", "nonce": 7});
        let read = ledger::read::<LeaderValue>(&leader).unwrap();
        assert_eq!(ledger::leader_value(&read), leader);
        assert!(ledger::read::<LeaderValue>(&registry::stone()).is_none());
        let text = r#"{"ref":"wk-1","lane":"train","crew":"red","shape":"ensemble","urgency":"urgent","pieces":2,"vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img","size_gb":6.2,"kinds_of_box":["g8"],"yard":null,"same_place":true,"scatter":false,"borrowed":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0}"#;
        let (one, two) = text.split_at(40);
        let mut parts = Assembly::default();
        parts.part("wk-1".into(), 1, &json!(two));
        let stored = json!({"at": 5, "n": 2, "s": one});
        let job = parts.job(&"wk-1".into(), Version(9), &stored).unwrap();
        assert_eq!((job.at, job.spec.tasks, job.is_gang()), (Wall(5), 2, true));
        let mut intents = Intents::new(Token(9), Span::secs(4.0), 8192);
        let hire = json!({"t": 5, "r": {"hire": "3-1", "box_kind": "g8", "yard": "a", "borrowed": true, "count": 2}});
        let release = json!({"t": 5, "w": {"idle": ["host-1", "host-2"]}});
        intents.load("d/h/3-1", &hire, Wall(6));
        assert_eq!(intents.load("d/x/3-2", &release, Wall(6)).len(), 2);
        assert_eq!(intents.open(), [1, 1, 2]);
        let mark = Asides::default().load("d/m/host-1", &json!({"n": 2, "t": 5, "d": true}));
        assert_eq!(mark, Some(("host-1".into(), true)));
        let came = json!({"t": 30000, "c": [["low", "red", [[1, [2.0, 60.0, 1]]]]]});
        assert_eq!(
            Memory::new(Span::secs(600.0))
                .missing(&came)
                .map(|m| m.len()),
            Some(1)
        );
    }

    // A level left out, or two with one number, would be skipped by a rise.
    #[test]
    fn the_table_has_every_level_once() {
        for (i, step) in TABLE.iter().enumerate() {
            assert_eq!(step.level, Level(i as u32));
            assert!(!step.since.is_empty() && !step.older.is_empty());
        }
        assert_eq!(Level(99).name(), "not known to this build");
    }
}
