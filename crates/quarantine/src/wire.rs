//! Conversions between cases, ends and the schema's types.

use crate::{Case, Digest, End, Start, Told};
use bn_wire::messages as wire;
use snafu::{OptionExt, Snafu};

/// A message without a digest of 16 bytes, or without the start that it speaks of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the message names no request, or no backend server"))]
pub struct NoDigest;

/// Result of reading a message.
pub(crate) type Result<T, E = NoDigest> = std::result::Result<T, E>;

/// The digest in a message.
pub fn read_digest(bytes: &[u8]) -> Result<Digest> {
    let bytes = bytes.try_into().ok().context(NoDigestSnafu)?;
    Ok(Digest::from_be_bytes(bytes))
}

impl From<&Start> for wire::ServerStart {
    fn from(start: &Start) -> Self {
        wire::ServerStart {
            id: start.id.clone(),
            began: start.began,
        }
    }
}

impl From<wire::ServerStart> for Start {
    fn from(start: wire::ServerStart) -> Self {
        Start {
            id: start.id,
            began: start.began,
        }
    }
}

impl From<&Told> for wire::Case {
    fn from(told: &Told) -> Self {
        let case = &told.case;
        wire::Case {
            digest: told.digest.to_be_bytes().to_vec(),
            round: case.round,
            ends: case.ends.iter().map(Into::into).collect(),
            refused: case.refused,
        }
    }
}

impl TryFrom<wire::Case> for Told {
    type Error = NoDigest;

    fn try_from(raw: wire::Case) -> Result<Self> {
        let case = Case {
            round: raw.round,
            ends: raw.ends.into_iter().map(Into::into).collect(),
            refused: raw.refused,
        };
        let digest = read_digest(&raw.digest)?;
        Ok(Told { digest, case })
    }
}

impl From<&End> for wire::Ended {
    fn from(end: &End) -> Self {
        let runs = end.runs.iter().map(|(digest, alone)| wire::LostRun {
            digest: digest.to_be_bytes().to_vec(),
            alone: *alone,
        });
        wire::Ended {
            start: Some((&end.start).into()),
            runs: runs.collect(),
        }
    }
}

impl TryFrom<wire::Ended> for End {
    type Error = NoDigest;

    fn try_from(raw: wire::Ended) -> Result<Self> {
        let runs = raw.runs.into_iter();
        let runs = runs.map(|r| Ok((read_digest(&r.digest)?, r.alone)));
        Ok(End {
            start: raw.start.context(NoDigestSnafu)?.into(),
            runs: runs.collect::<Result<_>>()?,
        })
    }
}
