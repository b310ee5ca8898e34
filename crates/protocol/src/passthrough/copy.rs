//! Copies of the catalogue that processes hand to each other: the whole catalogue, or the changes since
//! a version that the receiver has.
//!
//! An encoded copy is a byte that names the format, followed by the LZ4 block of the postcard encoding of
//! a [`CatalogueCopy`]. The encoding depends on the order of fields and variants; a change of it needs
//! another [`CopyFormat`].

use {
    super::{
        CatalogueDocument, CatalogueVersion, CopyFormat, RouteEntry, ServiceEntry,
        copy_format::{CopyWithoutTimes, DocumentWithoutTimes},
    },
    cardamomloom_core::error::{Error, malformed},
    lz4_flex::block,
    serde::{Deserialize, Serialize},
    siphasher::sip::SipHasher24,
    std::{
        collections::HashMap, fmt, hash::Hasher, net::Ipv4Addr, num::ParseIntError, str::FromStr,
    },
};

/// Result of decoding or applying a copy.
pub type Result<T> = std::result::Result<T, Error>;

/// Number of the newest format of encoded copies.
pub const COPY_FORMAT: u8 = CopyFormat::WithTimes.number();

/// Largest decompressed size of a copy in bytes. An object of the store has at most 1 MiB, as JSON.
const MAX_COPY_BYTES: usize = 8 << 20;

/// Maximum number of routes after a change. An object of the store holds fewer.
const MAX_ROUTES: usize = 65_536;

/// Digest of a catalogue; equal digests show that two processes have the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CatalogueDigest(pub u64);

impl CatalogueDigest {
    /// Returns the digest of a catalogue.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the catalogue cannot be encoded.
    pub fn of(document: &CatalogueDocument) -> Result<Self> {
        Self::in_format(CopyFormat::default(), document)
    }

    /// Returns the digest of a catalogue, as a process that reads copies in `format` computes it.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the catalogue cannot be encoded.
    pub fn in_format(format: CopyFormat, document: &CatalogueDocument) -> Result<Self> {
        let encoded = match format {
            CopyFormat::WithoutTimes => {
                encode_postcard(&DocumentWithoutTimes::from(document.clone()))?
            }
            CopyFormat::WithTimes => encode_postcard(document)?,
        };
        let mut hasher = SipHasher24::new();
        hasher.write(&encoded);
        Ok(Self(hasher.finish()))
    }
}

impl fmt::Display for CatalogueDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for CatalogueDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Part of a list of routes that is built from the list of the version before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RouteEdit {
    /// Routes that the version before has too.
    Keep {
        /// Index of the first route in the version before.
        first: u32,
        /// Number of routes.
        count: u32,
    },
    /// Routes that the version before does not have, or has with other fields.
    Insert(Vec<RouteEntry>),
}

/// Change from one version of the catalogue to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueStep {
    /// Version that the change applies to.
    pub base: CatalogueVersion,
    /// Version after the change.
    pub version: CatalogueVersion,
    /// Parts of the list of routes after the change, in its order.
    pub routes: Vec<RouteEdit>,
    /// Services after the change, or `None` if they are unchanged.
    pub services: Option<Vec<ServiceEntry>>,
    /// Idle timeout after the change.
    pub idle_timeout_ms: u64,
}

impl CatalogueStep {
    /// Returns the change from `previous` to `next`.
    #[must_use]
    pub fn between(previous: &CatalogueDocument, next: &CatalogueDocument) -> Self {
        let indexes: HashMap<_, u32> = (0..)
            .zip(&previous.routes)
            .map(|(index, route)| (route.address, index))
            .collect();
        let mut routes = Vec::new();
        for route in &next.routes {
            let kept = indexes
                .get(&route.address)
                .filter(|index| previous.routes.get(**index as usize) == Some(route));
            match (kept, routes.last_mut()) {
                (Some(index), Some(RouteEdit::Keep { first, count }))
                    if *first + *count == *index =>
                {
                    *count += 1;
                }
                (Some(index), _) => routes.push(RouteEdit::Keep {
                    first: *index,
                    count: 1,
                }),
                (None, Some(RouteEdit::Insert(inserted))) => inserted.push(route.clone()),
                (None, _) => routes.push(RouteEdit::Insert(vec![route.clone()])),
            }
        }
        Self {
            base: previous.version,
            version: next.version,
            routes,
            services: (previous.services != next.services).then(|| next.services.clone()),
            idle_timeout_ms: next.idle_timeout_ms,
        }
    }

    /// Returns the number of routes that the change contains.
    #[must_use]
    pub fn inserted_routes(&self) -> usize {
        let inserted = self.routes.iter().map(|edit| match edit {
            RouteEdit::Keep { .. } => 0,
            RouteEdit::Insert(routes) => routes.len(),
        });
        inserted.sum()
    }

    /// Returns the catalogue after the change.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the change does not apply to `base`.
    pub fn apply(&self, base: &CatalogueDocument) -> Result<CatalogueDocument> {
        if base.version != self.base {
            return Err(malformed(format!(
                "catalogue: change of version {} does not apply to version {}",
                self.base, base.version
            )));
        }
        let mut routes = Vec::new();
        for edit in &self.routes {
            match edit {
                RouteEdit::Keep { first, count } => {
                    let first = *first as usize;
                    let kept = base.routes.get(first..first + *count as usize);
                    let kept = kept.ok_or_else(|| {
                        malformed("catalogue: change keeps routes that its base does not have")
                    })?;
                    routes.extend_from_slice(kept);
                }
                RouteEdit::Insert(inserted) => routes.extend_from_slice(inserted),
            }
            if routes.len() > MAX_ROUTES {
                return Err(malformed(format!(
                    "catalogue: more than {MAX_ROUTES} routes after a change"
                )));
            }
        }
        Ok(CatalogueDocument {
            version: self.version,
            routes,
            services: self
                .services
                .clone()
                .unwrap_or_else(|| base.services.clone()),
            idle_timeout_ms: self.idle_timeout_ms,
        })
    }
}

/// Copy of the catalogue for a process that lacks the present version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CatalogueCopy {
    /// The whole catalogue.
    Full(CatalogueDocument),
    /// Consecutive changes, the first of which applies to the version that the receiver has.
    Changes {
        /// The changes, in their order.
        steps: Vec<CatalogueStep>,
        /// Digest of the catalogue after all changes.
        digest: CatalogueDigest,
    },
}

impl CatalogueCopy {
    /// Returns the version that the receiver has after it has applied the copy.
    #[must_use]
    pub fn version(&self) -> CatalogueVersion {
        match self {
            Self::Full(document) => document.version,
            Self::Changes { steps, .. } => {
                steps.last().map(|step| step.version).unwrap_or_default()
            }
        }
    }

    /// Encodes the copy in the newest format.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the copy cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>> {
        self.encode_as(CopyFormat::default())
    }

    /// Encodes the copy in a format. The digest of changes must be one in the same format.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the copy cannot be encoded.
    pub fn encode_as(&self, format: CopyFormat) -> Result<Vec<u8>> {
        let plain = match format {
            CopyFormat::WithoutTimes => encode_postcard(&CopyWithoutTimes::from(self.clone()))?,
            CopyFormat::WithTimes => encode_postcard(self)?,
        };
        let mut encoded = vec![format.number()];
        encoded.extend(block::compress_prepend_size(&plain));
        Ok(encoded)
    }

    /// Decodes a copy in any known format. Routes have no times in a copy of a format without them.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the format is unknown, the copy is too large, or it cannot be
    /// decoded.
    pub fn decode(encoded: &[u8]) -> Result<Self> {
        let format = CopyFormat::of(encoded)?;
        let compressed = encoded.get(1..).unwrap_or_default();
        let invalid = |error: &dyn fmt::Display| malformed(format!("catalogue: copy: {error}"));
        let (size, block) =
            block::uncompressed_size(compressed).map_err(|error| invalid(&error))?;
        if size > MAX_COPY_BYTES {
            return Err(malformed(format!(
                "catalogue: copy of {size} bytes, expected at most {MAX_COPY_BYTES}"
            )));
        }
        let decompressed = block::decompress(block, size).map_err(|error| invalid(&error))?;
        let decoded = match format {
            CopyFormat::WithoutTimes => {
                postcard::from_bytes(&decompressed).map(|copy: CopyWithoutTimes| copy.into())
            }
            CopyFormat::WithTimes => postcard::from_bytes(&decompressed),
        };
        decoded.map_err(|error| invalid(&error))
    }

    /// Returns the catalogue that a copy in the newest format describes. `base` is the present catalogue
    /// of the receiver; changes before its version are skipped.
    ///
    /// # Errors
    ///
    /// Fails with the same errors as [`Self::apply_as`].
    pub fn apply(self, base: Option<&CatalogueDocument>) -> Result<CatalogueDocument> {
        self.apply_as(CopyFormat::default(), base)
    }

    /// Returns the catalogue that a copy in `format` describes. `base` is the present catalogue of the
    /// receiver; changes before its version are skipped. Without times in the format no route has any,
    /// because the times of a route that the sender kept may have changed.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when changes do not apply to `base`, or the result has another
    /// digest than the sender's catalogue.
    pub fn apply_as(
        self,
        format: CopyFormat,
        base: Option<&CatalogueDocument>,
    ) -> Result<CatalogueDocument> {
        let (steps, digest) = match self {
            Self::Full(document) => return Ok(document),
            Self::Changes { steps, digest } => (steps, digest),
        };
        let base = base.ok_or_else(|| malformed("catalogue: changes without a base"))?;
        let mut document: Option<CatalogueDocument> = None;
        for step in steps.iter().skip_while(|step| step.base != base.version) {
            document = Some(step.apply(document.as_ref().unwrap_or(base))?);
        }
        let mut document =
            document.ok_or_else(|| malformed("catalogue: copy without changes of the base"))?;
        let present = CatalogueDigest::in_format(format, &document)?;
        if present != digest {
            return Err(malformed(format!(
                "catalogue: digest {present} after the changes to version {}, expected {digest}",
                document.version
            )));
        }
        if format == CopyFormat::WithoutTimes {
            for route in &mut document.routes {
                (route.response_goal_ms, route.timeout_ms) = (0, 0);
            }
        }
        Ok(document)
    }
}

/// Answer of a process that sends no copy now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRefusal {
    /// Version of the catalogue that the process has.
    pub version: CatalogueVersion,
    /// Processes that have received this version, or receive it at present.
    #[serde(default)]
    pub holders: Vec<Ipv4Addr>,
    /// Time after which the process can send a copy.
    #[serde(default)]
    pub retry_after_ms: u32,
}

fn encode_postcard(value: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_stdvec(value)
        .map_err(|error| malformed(format!("catalogue: cannot be encoded: {error}")))
}
