//! Conversions between cases, terminations and the schema's types.

use crate::{Case, CaseUpdate, Digest, Start, Termination};
use bn_wire::messages as wire;
use snafu::{OptionExt, Snafu};

/// A message without a digest of 16 bytes, or without the start that it is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("message lacks the 16-byte digest of a request or the start of a backend server"))]
pub struct InvalidMessage;

/// Result of reading a message.
pub(crate) type Result<T, E = InvalidMessage> = std::result::Result<T, E>;

/// The digest in a message.
pub fn read_digest(bytes: &[u8]) -> Result<Digest> {
    let bytes = bytes.try_into().ok().context(InvalidMessageSnafu)?;
    Ok(Digest::from_be_bytes(bytes))
}

fn bytes(digest: &Digest) -> Vec<u8> {
    digest.to_be_bytes().to_vec()
}

impl From<&Start> for wire::ServerStart {
    fn from(start: &Start) -> Self {
        wire::ServerStart {
            id: start.id.clone(),
            began: start.start_time,
        }
    }
}

impl From<wire::ServerStart> for Start {
    fn from(start: wire::ServerStart) -> Self {
        Start {
            id: start.id,
            start_time: start.began,
        }
    }
}

impl From<&CaseUpdate> for wire::Case {
    fn from(update: &CaseUpdate) -> Self {
        let case = &update.case;
        wire::Case {
            digest: bytes(&update.digest),
            round: case.round,
            ends: case.terminations.iter().map(Into::into).collect(),
            refused: case.refused,
            partners: case.partners.iter().map(bytes).collect(),
            tried: case.tried.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Case> for CaseUpdate {
    type Error = InvalidMessage;

    fn try_from(raw: wire::Case) -> Result<Self> {
        let partners = raw.partners.iter().map(|d| read_digest(d));
        let case = Case {
            round: raw.round,
            terminations: raw.ends.into_iter().map(Into::into).collect(),
            refused: raw.refused,
            partners: partners.collect::<Result<_>>()?,
            tried: raw.tried.into_iter().map(Into::into).collect(),
        };
        let digest = read_digest(&raw.digest)?;
        Ok(CaseUpdate { digest, case })
    }
}

impl From<&Termination> for wire::Ended {
    fn from(termination: &Termination) -> Self {
        let runs = termination.runs.iter();
        let runs = runs.map(|(digest, sole_trial)| wire::LostRun {
            digest: bytes(digest),
            alone: *sole_trial,
        });
        wire::Ended {
            start: Some((&termination.start).into()),
            runs: runs.collect(),
        }
    }
}

impl TryFrom<wire::Ended> for Termination {
    type Error = InvalidMessage;

    fn try_from(raw: wire::Ended) -> Result<Self> {
        let runs = raw.runs.into_iter();
        let runs = runs.map(|r| Ok((read_digest(&r.digest)?, r.alone)));
        Ok(Termination {
            start: raw.start.context(InvalidMessageSnafu)?.into(),
            runs: runs.collect::<Result<_>>()?,
        })
    }
}
