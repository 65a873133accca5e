//! What a record of the journal says, and how it is spelled.

use super::ledger::{Entry, Leg};
use super::{Authorisation, End, Origin, Seq, Verdict};
use marblefall_scheduler::{ClassId, Cold, DestinationId, Outcome, Report, Span, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a journal record says of one message.
pub(super) enum Record {
    Full(Entry),
    Begins(Leg),
    LegEnded(bool),
    Ended(End, bool, i64),
    Forgotten,
    Alias(Vec<u8>),
    /// A destination's host told to be left alone until a Unix time in milliseconds. Of no message.
    Told(DestinationId, String, i64),
    /// How a leg ended that a life began which has handed its messages over since.
    Closed(Box<Closed>),
    /// How a route stands, its host named where it is a route of its own; times are Unix times in microseconds. Of no
    /// message.
    Known(DestinationId, Option<String>, Cold),
}

/// The end of a leg, told by the life that began it to the one that decides now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Closed {
    /// Which leg of its message.
    pub copy: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was out.
    pub took: Span,
    /// What becomes of the message.
    pub verdict: Verdict,
    /// What its answer told of the limit.
    pub report: Report,
    /// Unix time in milliseconds until which the message is remembered if that was its end.
    pub keep_until_ms: i64,
}

impl Record {
    /// Does to the messages what the record says of one.
    pub(super) fn apply(self, seq: Seq, entries: &mut BTreeMap<Seq, Entry>) {
        if let Record::Full(entry) = self {
            entries.insert(seq, entry);
            return;
        }
        // The rest of what was said of a message whose full record went with an older segment: it was over.
        let Some(entry) = entries.get_mut(&seq) else { return };
        match self {
            Record::Full(_) => {}
            Record::Begins(leg) => {
                entry.attempts += 1;
                // One that is still out here was when its life ended; lost behind the next one, it would let a
                // repeat go out after the receiver's window.
                if let Some(left) = entry.out.replace(leg) {
                    entry.ran.get_or_insert(left);
                }
            }
            Record::LegEnded(may_have_run) => {
                if let Some(leg) = entry.out.take().filter(|_| may_have_run) {
                    entry.ran.get_or_insert(leg);
                }
            }
            Record::Ended(end, owed, keep_until_ms) => {
                let slim =
                    Authorisation { body: vec![], attributes: vec![], ..(*entry.authorisation).clone() };
                entry.authorisation = Rc::new(slim);
                (entry.end, entry.owed, entry.keep_until_ms) = (Some(end), owed, keep_until_ms);
            }
            Record::Alias(identity) => entry.aliases.push(identity),
            Record::Closed(closed) => {
                // Read again by a later life: the one that it was told to may have taken it up, or died before.
                let Some(leg) = entry.out.take() else { return };
                if !closed.outcome.never_ran() {
                    entry.ran.get_or_insert(leg);
                }
                let over = closed.outcome == Outcome::Delivered || closed.verdict == Verdict::Over;
                if over && entry.authorisation.origin == Origin::Relay {
                    entries.remove(&seq);
                } else if closed.outcome == Outcome::Delivered {
                    Record::Ended(End::Delivered, false, closed.keep_until_ms).apply(seq, entries);
                }
            }
            // Of no message.
            Record::Told(..) | Record::Known(..) => {}
            Record::Forgotten => {
                entries.remove(&seq);
            }
        }
    }

    pub(super) fn encode(&self, seq: Seq, classes: &[String]) -> Vec<u8> {
        let mut out = Out(seq.to_le_bytes().to_vec());
        match self {
            Record::Full(entry) => {
                let a = &entry.authorisation;
                out.byte(0).byte(matches!(a.origin, Origin::Events).into()).bytes(&a.identity);
                out.option(a.repeat_key.as_ref(), |out, key| out.bytes(key));
                out.bytes(classes.get(a.class.0).map_or(b"", |name| name.as_bytes()));
                out.number(a.destination.0 as i64).number(a.expires_ms);
                out.bytes(&a.attributes).bytes(&a.body).number(entry.attempts.into());
                out.option(entry.ran.as_ref(), Out::leg).option(entry.out.as_ref(), Out::leg);
                out.option(entry.end.as_ref(), |out, end| out.end(*end));
                out.byte(entry.owed.into()).number(entry.keep_until_ms).number(entry.aliases.len() as i64);
                entry.aliases.iter().for_each(|alias| {
                    out.bytes(alias);
                });
            }
            Record::Begins(leg) => {
                out.byte(1).leg(leg);
            }
            Record::LegEnded(may_have_run) => {
                out.byte(2).byte((*may_have_run).into());
            }
            Record::Ended(end, owed, until) => {
                out.byte(3).end(*end).byte((*owed).into()).number(*until);
            }
            Record::Forgotten => {
                out.byte(5);
            }
            Record::Alias(identity) => {
                out.byte(6).bytes(identity);
            }
            Record::Told(destination, host, until) => {
                out.byte(7).number(destination.0 as i64).bytes(host.as_bytes()).number(*until);
            }
            Record::Closed(closed) => {
                let (kind, wait) = match closed.outcome {
                    Outcome::Full(wait) => (2, wait),
                    other => (OUTCOMES.iter().position(|known| *known == other).unwrap_or(0) as u8, None),
                };
                let verdict = VERDICTS.iter().position(|known| *known == closed.verdict).unwrap_or(0);
                out.byte(8)
                    .number(closed.copy.into())
                    .byte(kind)
                    .option(wait, |out, wait| out.number(wait.0));
                out.number(closed.took.0).byte(verdict as u8).number(closed.keep_until_ms);
                out.option(closed.report.left, Out::real).option(closed.report.limit, Out::real);
            }
            Record::Known(destination, host, cold) => {
                out.byte(9).number(destination.0 as i64);
                out.option(host.as_ref(), |out, host| out.bytes(host.as_bytes()));
                for at in [cold.wait_until, cold.out_since, cold.back_since] {
                    out.option(at, |out, at| out.number(at.0));
                }
                out.option(cold.mean_ms, Out::real).real(cold.usual);
            }
        }
        out.0
    }

    pub(super) fn decode(payload: &[u8], classes: &[String]) -> Option<(Seq, Record)> {
        let mut from = From(payload);
        let seq = from.number()? as u64;
        let record = match from.byte()? {
            0 => {
                let origin = if from.byte()? == 1 { Origin::Events } else { Origin::Relay };
                let identity = from.bytes()?;
                let repeat_key = from.option(From::bytes)?;
                let class = from.bytes()?;
                // One that is no longer configured is unknown to the module too, which then fails the message.
                let class = classes.iter().position(|name| name.as_bytes() == class);
                let class = ClassId(class.unwrap_or(usize::MAX));
                let destination = DestinationId(from.number()? as u64);
                let (expires_ms, attributes, body) = (from.number()?, from.bytes()?, from.bytes()?);
                let authorisation = Rc::new(Authorisation {
                    origin,
                    identity,
                    repeat_key,
                    class,
                    destination,
                    expires_ms,
                    attributes,
                    body,
                });
                Record::Full(Entry {
                    authorisation,
                    attempts: from.number()? as u32,
                    ran: from.option(From::leg)?,
                    out: from.option(From::leg)?,
                    end: from.option(From::end)?,
                    owed: from.byte()? == 1,
                    keep_until_ms: from.number()?,
                    aliases: (0..from.number()?).map(|_| from.bytes()).collect::<Option<_>>()?,
                })
            }
            1 => Record::Begins(from.leg()?),
            2 => Record::LegEnded(from.byte()? == 1),
            3 => Record::Ended(from.end()?, from.byte()? == 1, from.number()?),
            5 => Record::Forgotten,
            6 => Record::Alias(from.bytes()?),
            7 => Record::Told(DestinationId(from.number()? as u64), from.text()?, from.number()?),
            8 => {
                let (copy, kind) = (from.number()? as u32, from.byte()?);
                let wait = from.option(From::number)?.map(Span);
                let outcome = *OUTCOMES.get(kind as usize)?;
                Record::Closed(Box::new(Closed {
                    copy,
                    outcome: if let Outcome::Full(_) = outcome { Outcome::Full(wait) } else { outcome },
                    took: Span(from.number()?),
                    verdict: *VERDICTS.get(from.byte()? as usize)?,
                    keep_until_ms: from.number()?,
                    report: Report { left: from.option(From::real)?, limit: from.option(From::real)? },
                }))
            }
            9 => {
                let (destination, host) = (from.number()? as u64, from.option(From::text)?);
                let mut time = || from.option(|from| from.number().map(Time));
                let (wait_until, out_since, back_since) = (time()?, time()?, time()?);
                let (mean_ms, usual) = (from.option(From::real)?, from.real()?);
                let cold = Cold { wait_until, out_since, back_since, mean_ms, usual };
                Record::Known(DestinationId(destination), host, cold)
            }
            _ => return None,
        };
        Some((seq, record))
    }
}

/// Outcomes in the order of their numbers in the journal.
const OUTCOMES: [Outcome; 9] = [
    Outcome::Delivered,
    Outcome::Error,
    Outcome::Full(None),
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Stale,
    Outcome::Cancelled,
    Outcome::Moot,
];
/// Verdicts in the order of theirs.
const VERDICTS: [Verdict; 3] = [Verdict::Open, Verdict::Over, Verdict::Failed];

struct Out(Vec<u8>);

impl Out {
    fn byte(&mut self, byte: u8) -> &mut Out {
        self.0.push(byte);
        self
    }

    fn number(&mut self, number: i64) -> &mut Out {
        self.0.extend(number.to_le_bytes());
        self
    }

    fn bytes(&mut self, bytes: &[u8]) -> &mut Out {
        self.0.extend((bytes.len() as u32).to_le_bytes());
        self.0.extend(bytes);
        self
    }

    fn real(&mut self, real: f64) -> &mut Out {
        self.number(real.to_bits() as i64)
    }

    fn option<T>(&mut self, value: Option<T>, put: impl FnOnce(&mut Out, T) -> &mut Out) -> &mut Out {
        match value {
            None => self.byte(0),
            Some(value) => put(self.byte(1), value),
        }
    }

    fn leg(&mut self, leg: &Leg) -> &mut Out {
        self.number(leg.at_ms).bytes(leg.host.as_bytes())
    }

    fn end(&mut self, end: End) -> &mut Out {
        let (kind, after) = match end {
            End::Delivered => (0, 0),
            End::Returned(after) => (1, after),
            End::Failed => (2, 0),
            End::Expired => (3, 0),
        };
        self.byte(kind).number(after as i64)
    }
}

struct From<'a>(&'a [u8]);

impl From<'_> {
    fn take(&mut self, len: usize) -> Option<&[u8]> {
        let (taken, rest) = self.0.split_at_checked(len)?;
        self.0 = rest;
        Some(taken)
    }

    fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    fn number(&mut self) -> Option<i64> {
        self.take(8)?.try_into().ok().map(i64::from_le_bytes)
    }

    fn bytes(&mut self) -> Option<Vec<u8>> {
        let len = u32::from_le_bytes(self.take(4)?.try_into().ok()?);
        self.take(len as usize).map(<[u8]>::to_vec)
    }

    fn real(&mut self) -> Option<f64> {
        self.number().map(|bits| f64::from_bits(bits as u64)).filter(|real| real.is_finite())
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }

    fn option<T>(&mut self, get: impl FnOnce(&mut Self) -> Option<T>) -> Option<Option<T>> {
        match self.byte()? {
            0 => Some(None),
            _ => get(self).map(Some),
        }
    }

    fn leg(&mut self) -> Option<Leg> {
        Some(Leg { at_ms: self.number()?, host: self.text()? })
    }

    fn end(&mut self) -> Option<End> {
        let (kind, after) = (self.byte()?, self.number()? as u64);
        [End::Delivered, End::Returned(after), End::Failed, End::Expired].get(kind as usize).copied()
    }
}
