//! Decides which copies of the catalogue a process sends to others.

use {
    cardamomloom_core::{Span, Time, error::Error},
    cardamomloom_protocol::passthrough::{
        CatalogueCopy, CatalogueDigest, CatalogueDocument, CatalogueStep, CatalogueVersion,
        CopyFormat, CopyRefusal,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::Ipv4Addr,
        sync::Arc,
    },
};

/// Result of encoding a copy.
type Result<T> = std::result::Result<T, Error>;

/// Limits of the copies that a process sends.
#[derive(Clone, Copy, Debug)]
pub struct CopyServerOptions {
    /// Rate of copies in bytes a second. It leaves a third of a link of 10 Mbit/s to packets and to the
    /// store.
    pub bytes_per_s: u64,
    /// Time that the copies sent so far may still take at this rate for another one to be sent.
    pub max_backlog: Span,
    /// Maximum number of changes that are kept to be sent in place of the whole catalogue.
    pub max_steps: usize,
    /// Maximum number of processes that a refusal names.
    pub max_holders: usize,
}

impl Default for CopyServerOptions {
    fn default() -> Self {
        Self {
            bytes_per_s: 800_000,
            max_backlog: Span::from_millis(100),
            max_steps: 16,
            max_holders: 8,
        }
    }
}

/// What a process that requests a copy has, and what it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyQuery {
    /// Version that the process has, or zero without a catalogue. A process that has the version of the
    /// sender lacks the times of its routes.
    pub base: CatalogueVersion,
    /// Newest format that the process reads.
    pub format: CopyFormat,
}

impl From<CatalogueVersion> for CopyQuery {
    /// Returns the request of a process of this release.
    fn from(base: CatalogueVersion) -> Self {
        Self {
            base,
            format: CopyFormat::default(),
        }
    }
}

impl CopyQuery {
    /// Returns whether the process needs a copy of a catalogue of this version.
    fn needs(self, version: CatalogueVersion) -> bool {
        version > self.base || (version == self.base && self.format == CopyFormat::WithTimes)
    }
}

/// Answer to a request for a copy.
#[derive(Clone, Debug)]
pub enum CopyResponse {
    /// Encoded copy, shared by all receivers that have the same version.
    Copy(Arc<[u8]>),
    /// No copy is sent now.
    Refused(CopyRefusal),
}

/// State of a process that sends copies of its catalogue.
#[derive(Clone, Debug, Default)]
pub struct CopyServer {
    options: CopyServerOptions,
    /// Consecutive changes, the last of which leads to the present version.
    steps: VecDeque<CatalogueStep>,
    /// Encoded copies of the present version by format and the version of the receiver.
    encoded: BTreeMap<(CopyFormat, CatalogueVersion), Arc<[u8]>>,
    /// Processes that the present version was sent to, the latest last.
    holders: VecDeque<Ipv4Addr>,
    /// Time at which the link has carried all copies, at the rate of the options.
    busy_until: Time,
}

impl CopyServer {
    /// Records a change of the catalogue of this process.
    pub fn on_change(&mut self, previous: Option<&CatalogueDocument>, next: &CatalogueDocument) {
        self.encoded.clear();
        self.holders.clear();
        let Some(previous) = previous else {
            self.steps.clear();
            return;
        };
        self.steps.push_back(CatalogueStep::between(previous, next));
        // Changes that contain as many routes as the catalogue are not shorter than a whole copy.
        let mut inserted: usize = self.steps.iter().map(CatalogueStep::inserted_routes).sum();
        while self.steps.len() > self.options.max_steps || inserted > next.routes.len() / 2 {
            let Some(step) = self.steps.pop_front() else {
                return;
            };
            inserted -= step.inserted_routes();
        }
    }

    /// Decides about the request of a process. The format of `query` must be one in which this process
    /// has `document`.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the catalogue cannot be encoded.
    pub fn respond(
        &mut self,
        now: Time,
        receiver: Ipv4Addr,
        query: impl Into<CopyQuery>,
        document: Option<&CatalogueDocument>,
    ) -> Result<CopyResponse> {
        let query = query.into();
        let Some(document) = document.filter(|document| query.needs(document.version)) else {
            return Ok(CopyResponse::Refused(CopyRefusal {
                version: document
                    .map(|document| document.version)
                    .unwrap_or_default(),
                holders: Vec::new(),
                retry_after_ms: as_millis_u32(self.options.max_backlog),
            }));
        };
        let backlog = self.busy_until.since(now);
        if backlog > self.options.max_backlog {
            let holders = self.holders.iter().rev();
            return Ok(CopyResponse::Refused(CopyRefusal {
                version: document.version,
                holders: holders.take(self.options.max_holders).copied().collect(),
                retry_after_ms: as_millis_u32(Span(backlog.0 - self.options.max_backlog.0)),
            }));
        }
        let encoded = match self.encoded.get(&(query.format, query.base)) {
            Some(encoded) => encoded.clone(),
            None => self.encode(query, document)?,
        };
        let duration = Span(encoded.len() as u64 * 1_000_000 / self.options.bytes_per_s);
        self.busy_until = self.busy_until.max(now) + duration;
        self.holders.retain(|holder| *holder != receiver);
        self.holders.push_back(receiver);
        if self.holders.len() > self.options.max_holders {
            self.holders.pop_front();
        }
        Ok(CopyResponse::Copy(encoded))
    }

    /// Encodes the changes since `base`, or the whole catalogue when they are not known.
    fn encode(
        &mut self,
        CopyQuery { base, format }: CopyQuery,
        document: &CatalogueDocument,
    ) -> Result<Arc<[u8]>> {
        let first = self.steps.iter().position(|step| step.base == base);
        let whole = CatalogueVersion::default();
        let (key, copy) = match first {
            Some(first) => {
                let steps = self.steps.range(first..).cloned().collect();
                let digest = CatalogueDigest::in_format(format, document)?;
                (base, CatalogueCopy::Changes { steps, digest })
            }
            None => match self.encoded.get(&(format, whole)) {
                Some(encoded) => return Ok(encoded.clone()),
                None => (whole, CatalogueCopy::Full(document.clone())),
            },
        };
        let encoded: Arc<[u8]> = copy.encode_as(format)?.into();
        self.encoded.insert((format, key), encoded.clone());
        Ok(encoded)
    }
}

fn as_millis_u32(span: Span) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
