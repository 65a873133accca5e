//! The encoding of the fields of journal records: numbers are little-endian, byte strings are preceded by their length,
//! and an optional field is preceded by a byte that states whether it is present.

use crate::core::message_record::{AttemptRecord, Execution, NoticeState};
use crate::core::{FinalOutcome, MessageId};

/// Numbers of the final outcomes in the journal.
mod outcome {
    pub(super) const DELIVERED: u8 = 0;
    pub(super) const RETURNED: u8 = 1;
    pub(super) const FAILED: u8 = 2;
    pub(super) const EXPIRED: u8 = 3;
}

/// Writes the fields of one record.
pub(super) struct Encoder(Vec<u8>);

impl Encoder {
    pub(super) fn new(id: MessageId) -> Encoder {
        Encoder(id.0.to_le_bytes().to_vec())
    }

    pub(super) fn into_bytes(self) -> Vec<u8> {
        self.0
    }

    pub(super) fn byte(&mut self, byte: u8) -> &mut Encoder {
        self.0.push(byte);
        self
    }

    pub(super) fn flag(&mut self, flag: bool) -> &mut Encoder {
        self.byte(flag.into())
    }

    pub(super) fn number(&mut self, number: i64) -> &mut Encoder {
        self.0.extend(number.to_le_bytes());
        self
    }

    pub(super) fn bytes(&mut self, bytes: &[u8]) -> &mut Encoder {
        self.0.extend((bytes.len() as u32).to_le_bytes());
        self.0.extend(bytes);
        self
    }

    pub(super) fn float(&mut self, float: f64) -> &mut Encoder {
        self.number(float.to_bits() as i64)
    }

    pub(super) fn option<T>(
        &mut self,
        value: Option<T>,
        encode: impl FnOnce(&mut Encoder, T) -> &mut Encoder,
    ) -> &mut Encoder {
        match value {
            None => self.byte(0),
            Some(value) => encode(self.byte(1), value),
        }
    }

    pub(super) fn attempt(&mut self, attempt: &AttemptRecord) -> &mut Encoder {
        self.number(attempt.started_ms)
            .bytes(attempt.endpoint.as_bytes())
    }

    pub(super) fn execution(&mut self, execution: Execution) -> &mut Encoder {
        self.flag(execution == Execution::Possible)
    }

    pub(super) fn notice(&mut self, notice: NoticeState) -> &mut Encoder {
        self.flag(notice == NoticeState::Pending)
    }

    pub(super) fn outcome(&mut self, outcome: FinalOutcome) -> &mut Encoder {
        let (number, retry_after_ms) = match outcome {
            FinalOutcome::Delivered => (outcome::DELIVERED, 0),
            FinalOutcome::Returned { retry_after_ms } => (outcome::RETURNED, retry_after_ms),
            FinalOutcome::Failed => (outcome::FAILED, 0),
            FinalOutcome::Expired => (outcome::EXPIRED, 0),
        };
        self.byte(number).number(retry_after_ms as i64)
    }
}

/// Reads the fields of one record. Each call returns `None` if the remaining bytes do not start with a valid field.
pub(super) struct Decoder<'a>(&'a [u8]);

impl<'a> Decoder<'a> {
    pub(super) fn new(payload: &'a [u8]) -> Decoder<'a> {
        Decoder(payload)
    }

    fn take(&mut self, len: usize) -> Option<&'a [u8]> {
        let (field, rest) = self.0.split_at_checked(len)?;
        self.0 = rest;
        Some(field)
    }

    pub(super) fn byte(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    pub(super) fn flag(&mut self) -> Option<bool> {
        self.byte().map(|byte| byte == 1)
    }

    pub(super) fn number(&mut self) -> Option<i64> {
        self.take(size_of::<i64>())?
            .try_into()
            .ok()
            .map(i64::from_le_bytes)
    }

    pub(super) fn bytes(&mut self) -> Option<Vec<u8>> {
        let len = u32::from_le_bytes(self.take(size_of::<u32>())?.try_into().ok()?);
        self.take(len as usize).map(<[u8]>::to_vec)
    }

    pub(super) fn float(&mut self) -> Option<f64> {
        let bits = self.number()?;
        Some(f64::from_bits(bits as u64)).filter(|float| float.is_finite())
    }

    pub(super) fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }

    pub(super) fn option<T>(
        &mut self,
        decode: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.byte()? {
            0 => Some(None),
            _ => decode(self).map(Some),
        }
    }

    pub(super) fn attempt(&mut self) -> Option<AttemptRecord> {
        Some(AttemptRecord {
            started_ms: self.number()?,
            endpoint: self.text()?,
        })
    }

    pub(super) fn execution(&mut self) -> Option<Execution> {
        self.flag().map(|is_possible| {
            if is_possible {
                Execution::Possible
            } else {
                Execution::RuledOut
            }
        })
    }

    pub(super) fn notice(&mut self) -> Option<NoticeState> {
        self.flag().map(|is_pending| {
            if is_pending {
                NoticeState::Pending
            } else {
                NoticeState::NotRequired
            }
        })
    }

    pub(super) fn outcome(&mut self) -> Option<FinalOutcome> {
        let number = self.byte()?;
        let retry_after_ms = self.number()? as u64;
        match number {
            outcome::DELIVERED => Some(FinalOutcome::Delivered),
            outcome::RETURNED => Some(FinalOutcome::Returned { retry_after_ms }),
            outcome::FAILED => Some(FinalOutcome::Failed),
            outcome::EXPIRED => Some(FinalOutcome::Expired),
            _ => None,
        }
    }
}
