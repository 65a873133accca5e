//! Which trouble is in force at a moment, for whoever asks in the middle of a run.

use crate::plan::{Plan, Trouble, TroubleKind};
use crate::record::{Micros, MS};
use marblefall_simulation::rig::micros;
use std::sync::Arc;

/// A plan with the moment at which it began.
#[derive(Clone, Debug)]
pub struct Schedule {
    plan: Arc<Plan>,
    began_at: Micros,
}

impl Schedule {
    /// A plan that begins at a moment.
    pub fn new(plan: Plan, began_at: Micros) -> Schedule {
        Schedule {
            plan: Arc::new(plan),
            began_at,
        }
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// When a trouble begins, and when it ends.
    pub fn span(&self, trouble: &Trouble) -> (Micros, Micros) {
        let from = self.began_at + trouble.from_ms as Micros * MS;
        (from, from + trouble.lasts_ms as Micros * MS)
    }

    /// The first trouble in force now of those that a question picks.
    pub fn in_force<T>(&self, pick: impl Fn(&Trouble) -> Option<T>) -> Option<T> {
        let now = micros();
        self.plan.troubles.iter().find_map(|trouble| {
            let (from, until) = self.span(trouble);
            if (from..until).contains(&now) {
                pick(trouble)
            } else {
                None
            }
        })
    }

    /// All troubles of a kind, with their spans.
    pub fn all<'a, T: 'a>(
        &'a self,
        pick: impl Fn(&TroubleKind) -> Option<T> + 'a,
    ) -> impl Iterator<Item = (&'a Trouble, T, (Micros, Micros))> + 'a {
        self.plan.troubles.iter().filter_map(move |trouble| {
            let picked = pick(&trouble.kind)?;
            Some((trouble, picked, self.span(trouble)))
        })
    }
}
