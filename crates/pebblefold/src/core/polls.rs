//! Polls of jobs that this node has seen open. Every answer that is not final
//! rests on a fresh read; polls that come close together share one: a
//! transaction that only compares the versions of their jobs' heads. A head
//! that is unchanged is still open.

use super::ledger::{self, Head};
use super::{Reply, RequestId};
use crate::types::{JobId, Span, Time, Version};
use crate::wire;
use crate::wire::state::{Condition, Revision, Txn};
use std::collections::{BTreeMap, BTreeSet};

/// A poll that waits for the next comparison.
pub type Asked = (RequestId, JobId);

/// Open heads remembered.
const MOST_OPEN: usize = 8000;

/// Open heads and the polls that ask for them.
#[derive(Debug, Default)]
pub struct Polls {
    open: BTreeMap<JobId, (Head, Version)>,
    waiting: Vec<Asked>,
    comparing: bool,
    not_before: Time,
}

/// What a comparison says of the polls that waited for it.
#[derive(Debug, Default, PartialEq)]
pub struct Compared {
    /// Their jobs are open.
    pub open: Vec<(RequestId, JobId, Head)>,
    /// Their jobs changed: to be read one by one.
    pub changed: Vec<Asked>,
    /// Nothing is known.
    pub failed: Vec<Asked>,
}

impl Polls {
    /// Remembers a head read or written as open.
    pub fn remember(&mut self, id: &JobId, head: Head, version: Version) {
        if self.open.len() >= MOST_OPEN && !self.open.contains_key(id) {
            // Any will do: it is read again when asked for.
            self.open.pop_first();
        }
        self.open.insert(id.clone(), (head, version));
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, id: &JobId) {
        self.open.remove(id);
    }

    /// Takes a poll in if its job was seen open.
    pub fn take(&mut self, request: RequestId, id: &JobId) -> bool {
        let known = self.open.contains_key(id);
        if known {
            self.waiting.push((request, id.clone()));
        }
        known
    }

    /// The next comparison, if one is due, and the polls it is for; at most
    /// `most` jobs.
    pub fn next(&mut self, now: Time, most: usize) -> Option<(Txn, Vec<Asked>)> {
        if self.comparing || self.waiting.is_empty() || now < self.not_before {
            return None;
        }
        let mut jobs: BTreeSet<JobId> = BTreeSet::new();
        let mut asked = Vec::new();
        for (request, id) in std::mem::take(&mut self.waiting) {
            if jobs.len() < most || jobs.contains(&id) {
                jobs.insert(id.clone());
                asked.push((request, id));
            } else {
                self.waiting.push((request, id));
            }
        }
        let conditions = jobs
            .iter()
            .filter_map(|id| {
                let (_, version) = *self.open.get(id)?;
                let key = ledger::head_key(id);
                Some(Condition { key, version })
            })
            .collect();
        self.comparing = true;
        let ops = Vec::new();
        Some((Txn { conditions, ops }, asked))
    }

    /// A comparison was answered, or not; the next follows after `pause`.
    pub fn answered(
        &mut self,
        now: Time,
        pause: Span,
        asked: Vec<Asked>,
        reply: &Reply,
    ) -> Compared {
        self.comparing = false;
        self.not_before = now + pause;
        let mut out = Compared::default();
        match reply {
            Reply::Answer(200, _) => {
                for (request, id) in asked {
                    match self.open.get(&id) {
                        Some((head, _)) => out.open.push((request, id, *head)),
                        // Forgotten meanwhile, so it was not compared, or ended.
                        None => out.changed.push((request, id)),
                    }
                }
            }
            Reply::Answer(409, body) => {
                let failed = wire::decode::<Revision>(body).unwrap_or_default().failed;
                for (request, id) in asked {
                    if failed.is_empty() || failed.contains(&ledger::head_key(&id)) {
                        self.open.remove(&id);
                        out.changed.push((request, id));
                    } else {
                        // Not named as changed does not say unchanged.
                        self.waiting.push((request, id));
                    }
                }
            }
            _ => {
                out.failed = asked;
                out.failed.append(&mut self.waiting);
            }
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::super::ledger::HeadStage;
    use super::*;

    fn polls() -> Polls {
        let mut p = Polls::default();
        let head = Head {
            s: HeadStage::Open,
            n: 3,
        };
        for (id, version) in [("a", 5), ("b", 6)] {
            p.remember(&id.into(), head, Version(version));
        }
        for (n, id) in ["a", "b", "a"].iter().enumerate() {
            assert!(p.take(RequestId(n as u64), &(*id).into()));
        }
        p
    }

    fn ids(asked: &[Asked]) -> Vec<u64> {
        asked.iter().map(|(r, _)| r.0).collect()
    }

    // With a read for each poll, a backlog of jobs used up the state service's
    // rate, and submissions were refused for it.
    #[test]
    fn polls_share_a_comparison() {
        let mut p = polls();
        assert!(!p.take(RequestId(9), &"unseen".into()));
        let (txn, asked) = p.next(Time(1), 192).unwrap();
        assert_eq!((txn.conditions.len(), txn.ops.len()), (2, 0));
        p.take(RequestId(4), &"b".into());
        assert!(p.next(Time(1), 192).is_none(), "one at a time");
        let out = p.answered(
            Time(2),
            Span(10),
            asked,
            &Reply::Answer(200, wire::encode(&0)),
        );
        assert_eq!(out.open.len(), 3);
        assert!(p.next(Time(11), 192).is_none(), "not before the pause");
        assert_eq!(ids(&p.next(Time(12), 192).unwrap().1), [4]);
    }

    #[test]
    fn only_an_unchanged_head_is_called_open() {
        let mut p = polls();
        let (_, asked) = p.next(Time(1), 192).unwrap();
        let body = wire::encode(&Revision {
            revision: Version(9),
            failed: vec!["job/a".into()],
        });
        let out = p.answered(Time(2), Span(0), asked, &Reply::Answer(409, body));
        assert_eq!((ids(&out.changed), out.open.len()), (vec![0, 2], 0));
        // The other one is compared again, with what comes meanwhile.
        let (_, asked) = p.next(Time(3), 192).unwrap();
        assert_eq!(ids(&asked), [1]);
        p.take(RequestId(7), &"b".into());
        let out = p.answered(Time(4), Span(0), asked, &Reply::Lost);
        assert_eq!(ids(&out.failed), [1, 7], "all are told at once");
        assert!(p.next(Time(5), 192).is_none());
    }
}
