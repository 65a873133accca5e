//! Whether a voter's folder remembers what it once acknowledged: what it shows others at its start, what they keep of it, and
//! how one that does not remember is let in as new.

use super::{Among, Out, Part, Voter, ASK};
use crate::book::{Book, Incarnation, Line};
use crate::store::Kept;
use crate::words::Member;
use marblefall_scheduler::Time;
use omnipaxos::messages::sequence_paxos::PaxosMsg;
use omnipaxos::messages::Message;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

impl Voter {
    pub(super) fn heard_hello(
        &mut self,
        now: Time,
        from: Member,
        incarnation: Incarnation,
        stand: u64,
        config: u32,
        out: &mut Vec<Out>,
    ) {
        let mut kept = self.store.kept.borrow_mut();
        // Before a group is founded nobody has acknowledged anything, so a folder that was lost is one like any other.
        let founding = kept.config == 0
            && kept
                .seen
                .get(&from)
                .is_some_and(|known| known.0 != incarnation);
        if founding {
            kept.seen.remove(&from);
        }
        let new = !kept.seen.contains_key(&from);
        let known = kept.seen.entry(from).or_insert((incarnation, stand));
        if new {
            self.store.dirty.set(true);
        } else if known.0 == incarnation {
            known.1 = known.1.max(stand);
        }
        let of = *known;
        let (incarnation, here) = (kept.incarnation, kept.config);
        drop(kept);
        out.push(Out::Send(
            from,
            Among::Known {
                incarnation,
                config: here,
                of,
            },
        ));
        if config < here {
            self.give_base(now, from, out);
        }
    }

    pub(super) fn heard_known(
        &mut self,
        now: Time,
        from: Member,
        incarnation: Incarnation,
        config: u32,
        of: (Incarnation, u64),
        out: &mut Vec<Out>,
    ) {
        let Part::Asking(heard) = &mut self.part else {
            return;
        };
        let mut kept = self.store.kept.borrow_mut();
        if of.0 != kept.incarnation || of.1 > kept.stand {
            let why = if of.0 != kept.incarnation {
                "another folder"
            } else {
                "a later state of this folder"
            };
            let name = kept.name;
            // Neither its promises nor its log are known any more: it must not vote as if they were.
            *kept = Kept::new(name, Incarnation(self.draw));
            drop(kept);
            self.draw = self
                .draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            self.store.dirty.set(true);
            self.part = Part::Out;
            self.next_ask = now;
            let what =
                format!("another voter knows {why}: no vote from here until it is let in as new");
            return out.push(Out::Note("folder-forgets", what));
        }
        if let Entry::Vacant(unknown) = kept.seen.entry(from) {
            unknown.insert((incarnation, 0));
            self.store.dirty.set(true);
        }
        let founded = kept.config > 0;
        drop(kept);
        heard.insert(from);
        let enough = match founded {
            true => self.voters.len() / 2,
            // All must be there when a group is founded: one that is not known of could be one that forgot.
            false if config == 0 => self.voters.len() - 1,
            false => return,
        };
        if heard.len() >= enough {
            self.enough(now, out);
        }
    }

    /// Takes part from now on.
    pub(super) fn enough(&mut self, now: Time, out: &mut Vec<Out>) {
        let mut kept = self.store.kept.borrow_mut();
        if kept.config == 0 {
            let mut voters: BTreeMap<Member, Incarnation> = kept
                .seen
                .iter()
                .map(|(member, seen)| (*member, seen.0))
                .collect();
            voters.insert(self.me, kept.incarnation);
            kept.begin(1, Book::new(voters));
            self.store.dirty.set(true);
        }
        drop(kept);
        self.part = Part::In;
        self.build(now);
        out.push(Out::Note(
            "takes-part",
            format!("in configuration {}", self.part().1),
        ));
    }

    pub(super) fn give_base(&mut self, now: Time, to: Member, out: &mut Vec<Out>) {
        if self.based.get(&to).is_some_and(|at| now - *at < ASK) {
            return;
        }
        let kept = self.store.kept.borrow();
        if let Some(base) = kept.base.clone() {
            self.based.insert(to, now);
            out.push(Out::Send(to, Among::Base(kept.config, Box::new(base))));
        }
    }

    /// A later configuration than the one that is known here: its log begins with this.
    pub(super) fn take_base(&mut self, now: Time, config: u32, book: Book, out: &mut Vec<Out>) {
        let kept = self.store.kept.borrow();
        let mine = book.voters.get(&self.me) == Some(&kept.incarnation);
        // A folder that may be an old copy could have taken part in that configuration already.
        let remembers = match &self.part {
            Part::Asking(heard) => kept.config == 0 && heard.len() >= self.voters.len() / 2,
            Part::In | Part::Out => true,
        };
        if config <= kept.config || !mine || !remembers {
            return;
        }
        drop(kept);
        out.push(Out::Note(
            "let-in",
            format!("takes part in configuration {config}"),
        ));
        self.begin(now, config, book, out);
    }

    pub(super) fn begin(&mut self, now: Time, config: u32, book: Book, out: &mut Vec<Out>) {
        if self.begun.take().is_some_and(|(_, stands)| stands) {
            out.push(Out::Deposed);
        }
        self.store.kept.borrow_mut().begin(config, book);
        self.store.dirty.set(true);
        self.part = Part::In;
        self.build(now);
    }

    /// A voter whose folder does not remember is let in under a new incarnation, by a configuration of its own.
    pub(super) fn let_in(
        &mut self,
        now: Time,
        member: Member,
        incarnation: Incarnation,
        out: &mut Vec<Out>,
    ) {
        if self.book.voters.get(&member) == Some(&incarnation) {
            return self.give_base(now, member, out);
        }
        let mut voters = self.book.voters.clone();
        voters.insert(member, incarnation);
        if self.reconfigure(voters) {
            out.push(Out::Note(
                "lets-in",
                format!("member {} votes under a new folder", member.0),
            ));
        }
    }

    pub(super) fn note_stand(&mut self, from: Member, stand: u64, message: &Message<Line>) {
        let mut kept = self.store.kept.borrow_mut();
        let Some(known) = kept.seen.get_mut(&from).filter(|known| known.1 < stand) else {
            return;
        };
        known.1 = stand;
        // What a majority rests on must be known of those who make it up, also after this voter's own death.
        let rests = matches!(message, Message::SequencePaxos(word)
            if matches!(word.msg, PaxosMsg::Accepted(_) | PaxosMsg::Promise(_)));
        if rests {
            self.store.dirty.set(true);
        }
    }
}
