//! Behaviour of the stand-in backend server, as tests of the daemon rely on it.

use {
    cardamomloom_standins::backend::{Backend, Behaviour, LoadAnswer, LoadReport, ServerCounts},
    reqwest::Client,
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

const TIMEOUT: Duration = Duration::from_secs(10);

struct Server {
    service: SocketAddr,
    control: SocketAddr,
    client: Client,
}

impl Server {
    async fn start(behaviour: Behaviour) -> Self {
        let service = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let control = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Self {
            service: service.local_addr().expect("bound"),
            control: control.local_addr().expect("bound"),
            client: Client::builder().no_proxy().build().expect("client"),
        };
        let backend = Backend::new("bookings");
        tokio::spawn(backend.clone().serve(service));
        tokio::spawn(backend.serve_control(control));
        server.set(behaviour).await;
        server
    }

    async fn set(&self, behaviour: Behaviour) {
        let url = format!("http://{}/behaviour", self.control);
        let answer = self.client.put(url).json(&behaviour).send().await;
        assert!(answer.expect("control answers").status().is_success());
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("http://{}/{path}", self.control);
        let answer = self.client.get(url).send().await.expect("control answers");
        answer.json().await.expect("known fields")
    }

    /// Connects and waits until the server has accepted `total` connections.
    async fn connect(&self, total: u64) -> TcpStream {
        let stream = TcpStream::connect(self.service)
            .await
            .expect("server accepts");
        let accepted = async {
            while self.get::<ServerCounts>("counts").await.accepted < total {
                tokio::task::yield_now().await;
            }
        };
        timeout(TIMEOUT, accepted).await.expect("server accepts");
        stream
    }
}

async fn end_of(stream: &mut TcpStream) -> Option<ErrorKind> {
    let read = timeout(TIMEOUT, stream.read(&mut [0; 1])).await;
    read.expect("the connection ends")
        .err()
        .map(|error| error.kind())
}

/// Guards against a stand-in that bears any load when cold: then no test of slow start can fail.
#[tokio::test]
async fn verify_cold_server_fails_beyond_what_it_bears() {
    let server = Server::start(Behaviour {
        cold_connections: 3,
        full_connections: 100,
        warm_ms: 3_600_000,
        outage_ms: 3_600_000,
        ..Behaviour::default()
    })
    .await;
    let mut first = server.connect(1).await;
    let _second = server.connect(2).await;
    let _third = server.connect(3).await;
    assert_eq!(server.get::<ServerCounts>("counts").await.overloads, 0);
    let _fourth = server.connect(4).await;
    assert_eq!(end_of(&mut first).await, Some(ErrorKind::ConnectionReset));
    assert_eq!(server.get::<ServerCounts>("counts").await.overloads, 1);
    let refused = async {
        while TcpStream::connect(server.service).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, refused)
        .await
        .expect("a failed server refuses connects");
}

/// Guards against a stand-in whose refusal, shedding and false load cannot be told from service.
#[tokio::test]
async fn verify_refusing_shedding_and_false_load() {
    let report = LoadReport {
        load_ppm: 990_000,
        shedding: true,
    };
    let behaviour = Behaviour {
        shed: true,
        load: LoadAnswer::False(report),
        ..Behaviour::default()
    };
    let server = Server::start(behaviour).await;
    let url = format!("http://{}/requests/bookings/r1", server.service);
    let answer = server
        .client
        .post(&url)
        .send()
        .await
        .expect("server answers");
    assert_eq!(answer.status().as_u16(), 503);
    let executed: std::collections::BTreeMap<String, u32> = server.get("executed").await;
    assert!(
        executed.is_empty(),
        "a request that was refused as not run ran"
    );
    assert_eq!(server.get::<LoadReport>("load").await, report);

    server
        .set(Behaviour {
            refuse: true,
            ..Behaviour::default()
        })
        .await;
    let refused = async {
        while TcpStream::connect(server.service).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, refused)
        .await
        .expect("server refuses connects");
    server.set(Behaviour::default()).await;
    let accepted = async {
        while TcpStream::connect(server.service).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, accepted)
        .await
        .expect("server accepts again");
}
