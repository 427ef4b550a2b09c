//! Answer: an invocation's final answer and its HTTP response to the client.
use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use coveroute_engine as engine;
use coveroute_engine::Rejection;

/// The final answer to a client's request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The executor's result, unchanged.
    Succeeded(Bytes),
    /// The request may safely be sent again, preferably after `pause` seconds.
    Throttled { pause: f64 },
    /// The job failed or may have run.
    Errored,
    /// The request is invalid and was not accepted.
    Invalid(StatusCode, &'static str),
}

impl From<engine::Answer> for Answer {
    fn from(answer: engine::Answer) -> Answer {
        match answer {
            engine::Answer::Succeeded(result) => Answer::Succeeded(result),
            engine::Answer::Throttled { pause } => Answer::Throttled { pause },
            engine::Answer::Errored => Answer::Errored,
            engine::Answer::Rejected(Rejection::DuplicateCall) => {
                Answer::Invalid(StatusCode::CONFLICT, "this call has come before")
            }
            engine::Answer::Rejected(Rejection::UnknownOperation) => {
                Answer::Invalid(StatusCode::NOT_FOUND, "no such operation")
            }
            engine::Answer::Rejected(Rejection::RejectedByExecutor(status)) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
                Answer::Invalid(status, "turned away by the executor")
            }
        }
    }
}

impl Answer {
    /// Encodes the response for a connection that actix-http does not serve.
    pub fn bytes(self, keep: bool) -> Vec<u8> {
        let (status, body, pause) = self.parts();
        let (code, reason) = (status.as_u16(), status.canonical_reason().unwrap_or_default());
        let mut head = format!("HTTP/1.1 {code} {reason}\r\ncontent-length: {}\r\n", body.len());
        if pause > 0.0 {
            head += &format!("retry-after: {pause:.3}\r\n");
        }
        if !keep {
            head += "connection: close\r\n";
        }
        [head.as_bytes(), b"\r\n", &body].concat()
    }

    /// The status, the body, and the Retry-After in seconds or 0 for none.
    fn parts(self) -> (StatusCode, Bytes, f64) {
        match self {
            Answer::Succeeded(result) => (StatusCode::OK, result, 0.0),
            Answer::Throttled { pause } => (StatusCode::SERVICE_UNAVAILABLE, "try again\n".into(), pause),
            Answer::Errored => (StatusCode::INTERNAL_SERVER_ERROR, "failed\n".into(), 0.0),
            Answer::Invalid(status, words) => (status, format!("{words}\n").into(), 0.0),
        }
    }

    pub fn response(self, keep: bool) -> Response<BoxBody> {
        let (status, body, pause) = self.parts();
        let mut response = Response::with_body(status, body).map_into_boxed_body();
        let after = HeaderValue::from_str(&format!("{pause:.3}")).ok().filter(|_| pause > 0.0);
        after.map(|after| response.headers_mut().insert(RETRY_AFTER, after));
        if !keep {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }
}
