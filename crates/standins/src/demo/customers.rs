//! Services, failure domains and host counts of the two simulated customers.

use {
    cardamomloom_core::{
        OperationId, PartsPerMillion, RegionName, ServiceId, ServiceName, error::Result,
    },
    cardamomloom_protocol::object::{
        DOMAINS_PREFIX, DomainSpec, DomainState, SERVICES_PREFIX, ServiceClass, ServiceSpec,
    },
    serde_json::{Value, json},
    std::{net::Ipv4Addr, str::FromStr, sync::Arc},
};

/// Customer whose services and failure domains an installation has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    /// Three failure domains in Tasmania; bookings and fixtures.
    Derwent,
    /// Three failure domains in northern Spain; pedidos and catalogo.
    Lenas,
}

impl FromStr for Customer {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "derwent" => Ok(Self::Derwent),
            "lenas" => Ok(Self::Lenas),
            other => Err(format!(
                "customer is {other:?}; allowed are derwent and lenas"
            )),
        }
    }
}

/// A service and the number of hosts that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: &'static str,
    /// Number of hosts, which are spread over the failure domains in turn.
    pub hosts: usize,
    /// Address that callers use.
    pub address: Ipv4Addr,
}

/// Port of every service.
pub const SERVICE_PORT: u16 = 80;

impl Customer {
    /// Returns the names of the failure domains.
    #[must_use]
    pub const fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Derwent => ["tas-hobart", "tas-launceston", "tas-devonport"],
            Self::Lenas => ["norte-a", "norte-b", "norte-c"],
        }
    }

    /// Returns the region of the failure domains.
    #[must_use]
    pub const fn region(self) -> &'static str {
        match self {
            Self::Derwent => "tas",
            Self::Lenas => "norte",
        }
    }

    /// Returns the services: one of the critical class, then one of the standard class.
    #[must_use]
    pub const fn services(self) -> [ServicePlan; 2] {
        let (first, second) = match self {
            Self::Derwent => ("bookings", "fixtures"),
            Self::Lenas => ("pedidos", "catalogo"),
        };
        [
            ServicePlan {
                name: first,
                hosts: 7,
                address: Ipv4Addr::new(203, 0, 113, 1),
            },
            ServicePlan {
                name: second,
                hosts: 3,
                address: Ipv4Addr::new(203, 0, 113, 2),
            },
        ]
    }

    /// Returns the keys and values of the catalogue: all services, then all failure domains.
    ///
    /// # Errors
    ///
    /// Fails when a name does not satisfy the schema.
    pub fn catalogue(self) -> Result<Vec<(String, Value)>> {
        let mut objects = Vec::new();
        for (index, plan) in self.services().into_iter().enumerate() {
            let spec = service_spec(index, plan)?;
            objects.push((format!("{SERVICES_PREFIX}{}", plan.name), json!(spec)));
        }
        for name in self.domains() {
            let spec = DomainSpec {
                name: name.parse()?,
                region: RegionName::from_str(self.region())?,
                state: DomainState::In,
                reason: Arc::from(""),
                operation_id: OperationId::default(),
            };
            objects.push((format!("{DOMAINS_PREFIX}{name}"), json!(spec)));
        }
        Ok(objects)
    }
}

/// Returns the object of the service at `index`; its id and its hash key follow from the index.
fn service_spec(index: usize, plan: ServicePlan) -> Result<ServiceSpec> {
    let number = u32::try_from(index).unwrap_or_default() + 1;
    Ok(ServiceSpec {
        name: ServiceName::from_str(plan.name)?,
        id: ServiceId(number),
        owner: Arc::from("on-call"),
        class: if index == 0 {
            ServiceClass::Critical
        } else {
            ServiceClass::Standard
        },
        addresses: vec![plan.address.into()],
        port: SERVICE_PORT,
        slots_per_host: 4,
        connections_per_slot: 2_000,
        slow_start_connections: 64,
        slow_start_ms: 10_000,
        drain_timeout_ms: 3_600_000,
        hash_key: Arc::from(format!("{number:032x}")),
        objective_success_ppm: PartsPerMillion(999_000),
        operation_id: OperationId::default(),
    })
}
