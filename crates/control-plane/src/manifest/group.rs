//! The part of the operators' file that makes several daemons a group.

use super::Instance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use toml::Spanned;

/// What a cut costs a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OnCut {
    /// One that has lost the group for longer than its term takes nothing on and sends nothing; changes go on without it.
    #[default]
    Stop,
    /// It serves on; changes wait for it, or for an operator's word that it is stopped.
    Serve,
}

/// A daemon of the group, with a home of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Where its link listens, for the other members and for operators.
    pub link: SocketAddr,
    /// The instances that it runs.
    #[serde(default)]
    pub instances: BTreeSet<String>,
    /// Whether it has a voice in what became of changes.
    #[serde(default)]
    pub votes: bool,
}

/// Daemons that change what they decide by together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Its name: what comes from another group is not listened to.
    pub name: String,
    /// What a cut costs.
    #[serde(default)]
    pub on_cut: OnCut,
    /// How long a member acts without hearing the group, in milliseconds, where a cut stops it.
    #[serde(default = "term")]
    pub term_ms: u64,
    /// How long a change may wait for the members' word on it, in milliseconds, where a cut stops them.
    #[serde(default = "check")]
    pub check_ms: u64,
    /// How long members may be held still before a change is withdrawn, in milliseconds.
    #[serde(default = "stop")]
    pub stop_ms: u64,
    /// The members by name.
    pub members: BTreeMap<String, Member>,
}

fn term() -> u64 {
    3000
}

fn check() -> u64 {
    5000
}

fn stop() -> u64 {
    8000
}

/// The group as the file has it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Written {
    name: String,
    #[serde(default)]
    on_cut: OnCut,
    #[serde(default = "term")]
    term_ms: u64,
    #[serde(default = "check")]
    check_ms: u64,
    #[serde(default = "stop")]
    stop_ms: u64,
    #[serde(default, rename = "member")]
    members: BTreeMap<String, Spanned<Member>>,
}

impl Written {
    pub(super) fn bare(self) -> Group {
        let Written {
            name,
            on_cut,
            term_ms,
            check_ms,
            stop_ms,
            members,
        } = self;
        let members = members
            .into_iter()
            .map(|(name, member)| (name, member.into_inner()))
            .collect();
        Group {
            name,
            on_cut,
            term_ms,
            check_ms,
            stop_ms,
            members,
        }
    }

    /// What is wrong with it, each with the byte that it begins at; `at` is the group's own.
    pub(super) fn faults(
        &self,
        at: usize,
        instances: &BTreeMap<String, Spanned<Instance>>,
    ) -> Vec<(usize, String)> {
        let mut wrong = Vec::new();
        let name = |name: &str| {
            !name.is_empty()
                && name
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte))
        };
        if !name(&self.name) {
            wrong.push((
                at,
                "group: a name holds letters, digits, - and _ only".to_owned(),
            ));
        }
        for (what, ms) in [
            ("term_ms", self.term_ms),
            ("check_ms", self.check_ms),
            ("stop_ms", self.stop_ms),
        ] {
            if !(200..=600_000).contains(&ms) {
                wrong.push((
                    at,
                    format!("group: {what} is 200 at least and 600,000 at most"),
                ));
            }
        }
        // A member that cannot be reached is passed over once its term has run out, and not before.
        for (what, ms) in [("check_ms", self.check_ms), ("stop_ms", self.stop_ms)] {
            if self.on_cut == OnCut::Stop && ms < self.term_ms * 5 / 4 + 1000 {
                wrong.push((
                    at,
                    format!(
                        "group: {what} is {} at least, for a term of {}",
                        self.term_ms * 5 / 4 + 1000,
                        self.term_ms
                    ),
                ));
            }
        }
        let voters = self
            .members
            .values()
            .filter(|member| member.get_ref().votes)
            .count();
        if voters == 0 {
            wrong.push((at, "group: no member has votes = true".to_owned()));
        }
        if voters > 9 {
            wrong.push((
                at,
                format!("group: {voters} members vote; nine are enough for any group"),
            ));
        }
        let (mut links, mut runs) = (BTreeMap::new(), BTreeMap::new());
        for (who, member) in &self.members {
            let (at, member) = (member.span().start, member.get_ref());
            let mut say = |why: String| wrong.push((at, format!("member {who}: {why}")));
            if !name(who) {
                say("a name holds letters, digits, - and _ only".to_owned());
            }
            if member.link.port() == 0 {
                say("its link has no port".to_owned());
            }
            if let Some(other) = links.insert(member.link, who) {
                say(format!("has the same link as member {other}"));
            }
            for instance in &member.instances {
                if !instances.contains_key(instance) {
                    say(format!("runs the unknown instance {instance:?}"));
                }
                if let Some(other) = runs.insert(instance, who) {
                    say(format!(
                        "runs instance {instance:?}, as does member {other}"
                    ));
                }
            }
        }
        for (instance, place) in instances
            .iter()
            .filter(|(instance, _)| !runs.contains_key(instance))
        {
            wrong.push((
                place.span().start,
                format!("instance {instance}: no member of the group runs it"),
            ));
        }
        wrong
    }
}

impl Group {
    /// What is allowed, and may still be a slip.
    pub fn warning(&self) -> Option<String> {
        let voters = self.members.values().filter(|member| member.votes).count();
        match voters {
            1 => Some("one member votes: its folder alone remembers what was agreed, and its loss is not found out".to_owned()),
            _ => (voters % 2 == 0).then(|| {
                format!("{voters} members vote: the loss of half of them stops all changes, as it would with one less")
            }),
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::manifest::Manifest;

    const GOOD: &str = include_str!("../../../../examples/group/fleet.toml");

    #[test]
    fn the_example_is_sound_and_its_voters_are_odd() {
        let fleet = Manifest::parse(GOOD).unwrap();
        let group = fleet.group.unwrap();
        assert_eq!((group.members.len(), group.warning()), (3, None));
    }

    #[test]
    fn a_group_that_contradicts_itself_is_an_error_with_its_line() {
        for (from, to, why, line) in [
            (
                "instances = [\"north-1\"]",
                "instances = [\"nowhere\"]",
                "unknown instance",
                25,
            ),
            (
                "instances = [\"north-1\"]",
                "instances = [\"east-1\"]",
                "as does member east",
                25,
            ),
            (
                "instances = [\"north-1\"]",
                "instances = []",
                "no member of the group runs it",
                38,
            ),
            (
                "127.0.0.1:7302",
                "127.0.0.1:7301",
                "same link as member east",
                25,
            ),
            ("127.0.0.1:7302", "127.0.0.1:0", "no port", 25),
            ("votes = true", "votes = false", "no member has votes", 15),
            (
                "term_ms = 3000",
                "term_ms = 6000",
                "check_ms is 8500 at least",
                15,
            ),
            (
                "term_ms = 3000",
                "term_ms = 1",
                "term_ms is 200 at least",
                15,
            ),
            (
                "[group.member.south]",
                "[group.member.north]",
                "duplicate key",
                30,
            ),
            (
                "on_cut = \"stop\"",
                "on_cut = \"wait\"",
                "unknown variant",
                17,
            ),
        ] {
            let text = GOOD.replace(from, to);
            assert_ne!(text, GOOD, "{from}");
            let said = Manifest::parse(&text).unwrap_err();
            assert!(
                said.contains(why) && said.contains(&format!("line {line}")),
                "{why}, line {line}: {said}"
            );
        }
        let even = GOOD.replacen("votes = true", "votes = false", 1);
        let warning = Manifest::parse(&even)
            .unwrap()
            .group
            .unwrap()
            .warning()
            .unwrap();
        assert!(warning.starts_with("2 members vote"), "{warning}");
    }
}
