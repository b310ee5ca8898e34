//! Formats of encoded copies of the catalogue.
//!
//! Processes of two releases run side by side during a rolling upgrade. A process names the newest format
//! that it reads in its request, and gets a copy in that one or an older one; the first byte of a copy
//! names its format.

use {
    super::{
        CatalogueCopy, CatalogueDigest, CatalogueDocument, CatalogueStep, CatalogueVersion,
        RouteEdit, RouteEntry, RouteTarget, ServiceEntry,
    },
    cardamomloom_core::error::{Error, malformed},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddrV4, str::FromStr, sync::Arc},
};

/// Result of reading a format.
pub type Result<T> = std::result::Result<T, Error>;

/// Format of an encoded copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CopyFormat {
    /// Format 1: routes without latency goal and timeout. Processes of the previous release read only
    /// this one and name no format in their requests.
    WithoutTimes,
    /// Format 2: routes with both times.
    #[default]
    WithTimes,
}

impl CopyFormat {
    /// Returns the byte that names the format in a copy and in a request.
    #[must_use]
    pub const fn number(self) -> u8 {
        match self {
            Self::WithoutTimes => 1,
            Self::WithTimes => 2,
        }
    }

    /// Returns the newest format that this release writes and that a process reads which has requested
    /// format `requested`, or named none.
    #[must_use]
    pub fn for_request(requested: Option<u8>) -> Self {
        if requested.is_some_and(|number| number >= Self::WithTimes.number()) {
            Self::WithTimes
        } else {
            Self::WithoutTimes
        }
    }

    /// Returns the format of an encoded copy.
    ///
    /// # Errors
    ///
    /// Fails with kind `malformed` when the copy is empty or its format is unknown.
    pub fn of(encoded: &[u8]) -> Result<Self> {
        let number = encoded.first().copied();
        [Self::WithoutTimes, Self::WithTimes]
            .into_iter()
            .find(|format| number == Some(format.number()))
            .ok_or_else(|| malformed("catalogue: copy of an unknown format"))
    }
}

impl fmt::Display for CopyFormat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}

impl FromStr for CopyFormat {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number: Option<u8> = text.parse().ok();
        number.map_or_else(
            || {
                Err(malformed(format!(
                    "catalogue: {text:?} is not a copy format"
                )))
            },
            |number| Self::of(&[number]),
        )
    }
}

/// [`CatalogueCopy`] in format 1. The order of fields and variants of this and the following types is
/// that of the previous release.
#[derive(Serialize, Deserialize)]
pub(super) enum CopyWithoutTimes {
    Full(DocumentWithoutTimes),
    Changes {
        steps: Vec<StepWithoutTimes>,
        digest: CatalogueDigest,
    },
}

#[derive(Serialize, Deserialize)]
pub(super) struct DocumentWithoutTimes {
    version: CatalogueVersion,
    routes: Vec<RouteWithoutTimes>,
    services: Vec<ServiceEntry>,
    idle_timeout_ms: u64,
}

#[derive(Serialize, Deserialize)]
pub(super) struct StepWithoutTimes {
    base: CatalogueVersion,
    version: CatalogueVersion,
    routes: Vec<EditWithoutTimes>,
    services: Option<Vec<ServiceEntry>>,
    idle_timeout_ms: u64,
}

#[derive(Serialize, Deserialize)]
enum EditWithoutTimes {
    Keep { first: u32, count: u32 },
    Insert(Vec<RouteWithoutTimes>),
}

#[derive(Serialize, Deserialize)]
struct RouteWithoutTimes {
    name: Arc<str>,
    address: SocketAddrV4,
    targets: Vec<RouteTarget>,
    is_idempotent: bool,
    priority: u8,
}

impl From<RouteEntry> for RouteWithoutTimes {
    fn from(route: RouteEntry) -> Self {
        Self {
            name: route.name,
            address: route.address,
            targets: route.targets,
            is_idempotent: route.is_idempotent,
            priority: route.priority,
        }
    }
}

impl From<RouteWithoutTimes> for RouteEntry {
    fn from(route: RouteWithoutTimes) -> Self {
        Self {
            name: route.name,
            address: route.address,
            targets: route.targets,
            is_idempotent: route.is_idempotent,
            priority: route.priority,
            response_goal_ms: 0,
            timeout_ms: 0,
        }
    }
}

impl From<CatalogueDocument> for DocumentWithoutTimes {
    fn from(document: CatalogueDocument) -> Self {
        Self {
            version: document.version,
            routes: document.routes.into_iter().map(Into::into).collect(),
            services: document.services,
            idle_timeout_ms: document.idle_timeout_ms,
        }
    }
}

impl From<DocumentWithoutTimes> for CatalogueDocument {
    fn from(document: DocumentWithoutTimes) -> Self {
        Self {
            version: document.version,
            routes: document.routes.into_iter().map(Into::into).collect(),
            services: document.services,
            idle_timeout_ms: document.idle_timeout_ms,
        }
    }
}

impl From<CatalogueStep> for StepWithoutTimes {
    fn from(step: CatalogueStep) -> Self {
        let edits = step.routes.into_iter().map(|edit| match edit {
            RouteEdit::Keep { first, count } => EditWithoutTimes::Keep { first, count },
            RouteEdit::Insert(routes) => {
                EditWithoutTimes::Insert(routes.into_iter().map(Into::into).collect())
            }
        });
        Self {
            base: step.base,
            version: step.version,
            routes: edits.collect(),
            services: step.services,
            idle_timeout_ms: step.idle_timeout_ms,
        }
    }
}

impl From<StepWithoutTimes> for CatalogueStep {
    fn from(step: StepWithoutTimes) -> Self {
        let edits = step.routes.into_iter().map(|edit| match edit {
            EditWithoutTimes::Keep { first, count } => RouteEdit::Keep { first, count },
            EditWithoutTimes::Insert(routes) => {
                RouteEdit::Insert(routes.into_iter().map(Into::into).collect())
            }
        });
        Self {
            base: step.base,
            version: step.version,
            routes: edits.collect(),
            services: step.services,
            idle_timeout_ms: step.idle_timeout_ms,
        }
    }
}

impl From<CatalogueCopy> for CopyWithoutTimes {
    fn from(copy: CatalogueCopy) -> Self {
        match copy {
            CatalogueCopy::Full(document) => Self::Full(document.into()),
            CatalogueCopy::Changes { steps, digest } => Self::Changes {
                steps: steps.into_iter().map(Into::into).collect(),
                digest,
            },
        }
    }
}

impl From<CopyWithoutTimes> for CatalogueCopy {
    fn from(copy: CopyWithoutTimes) -> Self {
        match copy {
            CopyWithoutTimes::Full(document) => Self::Full(document.into()),
            CopyWithoutTimes::Changes { steps, digest } => Self::Changes {
                steps: steps.into_iter().map(Into::into).collect(),
                digest,
            },
        }
    }
}
