//! Asks a silent backend server whether it is back, so that no caller's request has to find out.

use crate::context;
use crate::shared::Shared;
use crate::silence;
use bn_platform::header;
use bn_route::Server;
use bn_serve::client;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use std::time::Duration;

/// Time between two questions.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time until a question is repeated over another connection. An instance that stands still answers
/// as soon as it runs again; one that was cut off may have lost the question.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks until something is received from this start of the backend server, or it is gone.
pub(crate) fn watch(shared: &Shared, server: &Server) {
    let (shared, server) = (shared.clone(), server.clone());
    tokio::spawn(async move {
        while is_silent(&shared, &server) {
            let asked = tokio::time::timeout(ANSWER_TIMEOUT, ask(&shared, &server));
            if asked.await == Ok(true) {
                return silence::record_heard(&shared, &server);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
}

fn is_silent(shared: &Shared, server: &Server) -> bool {
    let fleet = &shared.state().fleet;
    fleet.is_silent(&server.id, server.start_time)
}

/// Whether the backend server answers its health check, with any status. Another one may have its
/// address by now.
async fn ask(shared: &Shared, server: &Server) -> bool {
    let path = {
        let state = shared.state();
        let document = state.document.as_ref();
        let service = document.and_then(|d| d.services().get(&server.service));
        service.map_or_else(|| "/".into(), |s| s.health_path.clone())
    };
    let Ok(request) = Request::get(path)
        .header(HOST, server.address.to_string())
        .body(Full::default())
    else {
        return false;
    };
    metrics::counter!("liveness_checks_total").increment(1);
    let Ok(mut connection) = client::open(server.address).await else {
        return false;
    };
    let answer = connection.send(request).await;
    answer
        .is_ok_and(|a| context::text(a.headers(), header::SERVER).is_none_or(|id| id == server.id))
}
