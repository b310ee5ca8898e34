//! Tests of the stand-in backend server, on whose overload, shedding, refusal and load reports the
//! tests of the daemon rely.

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

/// A running stand-in with the addresses of its two listeners.
struct Server {
    service: SocketAddr,
    control: SocketAddr,
    client: Client,
}

impl Server {
    async fn start(behaviour: Behaviour) -> Self {
        let service = TcpListener::bind("127.0.0.1:0").await;
        let service = service.expect("a loopback port is free");
        let control = TcpListener::bind("127.0.0.1:0").await;
        let control = control.expect("a loopback port is free");
        let server = Self {
            service: service.local_addr().expect("the socket is bound"),
            control: control.local_addr().expect("the socket is bound"),
            client: Client::builder()
                .no_proxy()
                .build()
                .expect("the HTTP client is created"),
        };
        let backend = Backend::new("bookings");
        tokio::spawn(backend.clone().serve(service));
        tokio::spawn(backend.serve_control(control));
        server.set_behaviour(behaviour).await;
        server
    }

    async fn set_behaviour(&self, behaviour: Behaviour) {
        let url = format!("http://{}/behaviour", self.control);
        let response = self.client.put(url).json(&behaviour).send().await;
        let response = response.expect("the control listener answers");
        assert!(response.status().is_success());
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let url = format!("http://{}/{path}", self.control);
        let response = self.client.get(url).send().await;
        let response = response.expect("the control listener answers");
        response
            .json()
            .await
            .expect("the response has the expected fields")
    }

    /// Connects and waits until the server has accepted `total` connections.
    async fn connect(&self, total: u64) -> TcpStream {
        let stream = TcpStream::connect(self.service)
            .await
            .expect("the server accepts connects");
        let accepted = async {
            while self.get::<ServerCounts>("counts").await.accepted < total {
                tokio::task::yield_now().await;
            }
        };
        timeout(TIMEOUT, accepted)
            .await
            .expect("the server counts the accepted connection");
        stream
    }
}

/// Waits until a connection ends and returns its error, or `None` when it ended without one.
async fn wait_for_end(stream: &mut TcpStream) -> Option<ErrorKind> {
    let read = timeout(TIMEOUT, stream.read(&mut [0; 1])).await;
    read.expect("the server ends the connection")
        .err()
        .map(|error| error.kind())
}

/// Guards against a stand-in that serves any load when cold: no test of slow start could fail then.
#[tokio::test]
async fn verify_cold_server_fails_above_its_capacity() {
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
    assert_eq!(
        wait_for_end(&mut first).await,
        Some(ErrorKind::ConnectionReset)
    );
    assert_eq!(server.get::<ServerCounts>("counts").await.overloads, 1);
    let refused = async {
        while TcpStream::connect(server.service).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, refused)
        .await
        .expect("a server that failed refuses connects");
}

/// Guards against a stand-in that ignores its behaviour: it runs requests that it sheds, accepts
/// connects that it should refuse, or reports its actual load instead of a false one.
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
    let response = server
        .client
        .post(&url)
        .send()
        .await
        .expect("the server answers");
    assert_eq!(response.status().as_u16(), 503);
    let executed: std::collections::BTreeMap<String, u32> = server.get("executed").await;
    assert!(
        executed.is_empty(),
        "a request that was shed ran: {executed:?}"
    );
    assert_eq!(server.get::<LoadReport>("load").await, report);

    server
        .set_behaviour(Behaviour {
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
        .expect("the server refuses connects");
    server.set_behaviour(Behaviour::default()).await;
    let accepted = async {
        while TcpStream::connect(server.service).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TIMEOUT, accepted)
        .await
        .expect("the server accepts connects again");
}
