//! The platform's protocol: chat completions. Events of replicas that speak the same dialect are relayed unchanged.

use std::io;
use std::rc::Rc;

use bytes::Bytes;
use tallypin::api::{ClassId, Nanos, RejectReason, TenantId};
use tallypin::name_hash;

use super::{
    next_event, retry_after_seconds, take_stream_head, write, write_chunk, write_response, AfterAnswer,
    IncomingRequest, NextEvent, Rejection,
};
use super::{ClientConnection, FrontContext};
use crate::core::{FinalAnswer, NewRequest};
use crate::dialect::{ChatWriter, ConversationRequest, Dialect};
use crate::dispatcher::{ResponseEvent, UpstreamRequest};
use crate::http::HttpError;
use crate::memory_budget::BufferedBody;

/// The method and path of requests.
const REQUEST_METHOD: &[u8] = b"POST";
const REQUEST_PATH: &[u8] = b"/v1/chat/completions";
/// The maximum length of a request identifier, bytes.
const MAX_ID_LENGTH: usize = 128;
/// The maximum deadline that a client may set: one day.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// The head of a streamed response.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Parses the header fields of a request; returns the request for the core and the client's request identifier.
pub fn parse_request(
    context: &FrontContext,
    request: &IncomingRequest,
    now: Nanos,
) -> Result<(NewRequest, Bytes), Rejection> {
    if request.path() != REQUEST_PATH {
        return Err(Rejection::NotFound);
    }
    if &request.method[..] != REQUEST_METHOD {
        return Err(Rejection::Method);
    }
    let (head, deployment) = (&request.head, &context.deployment);
    let id = head.single_value("req-id")?.ok_or(HttpError::Malformed)?;
    if id.is_empty() || id.len() > MAX_ID_LENGTH || !id.iter().all(u8::is_ascii_graphic) || !head.is_http_11 {
        return Err(HttpError::Malformed.into());
    }
    let kind = head.text_value("req-kind")?;
    let class =
        deployment.classes.iter().position(|c| Some(c.name.as_str()) == kind).ok_or(HttpError::Malformed)?;
    let tenant_name = head.text_value("req-owner")?;
    let tenant = match deployment.tenant_names.iter().position(|p| Some(p.as_str()) == tenant_name) {
        Some(tenant) => tenant,
        None if deployment.tenant_names.is_empty() => 0,
        None => return Err(HttpError::Malformed.into()),
    };
    let deadline = match head.text_value("req-deadline-ms")? {
        None => deployment.classes[class].deadline,
        Some(ms) => {
            parse_number(ms).filter(|ms| *ms <= MAX_DEADLINE_MS).ok_or(HttpError::Malformed)? * 1_000_000
        }
    };
    let retry = head.text_value("req-retry")?;
    let mut new_request = NewRequest {
        class: ClassId(class as u32),
        tenant: TenantId(tenant as u32),
        time_left: request.time_left(now, deadline),
        session: head.single_value("req-key")?.map(|key| name_hash::session_key(key)),
        resumes_stream: retry == Some("again"),
        is_client_retry: retry == Some("1"),
        is_resumable: deployment.resumes_streams,
        ..NewRequest::default()
    };
    for pair in head.text_value("req-extra")?.unwrap_or_default().split(',').filter(|p| !p.trim().is_empty())
    {
        let (name, value) = pair.trim().split_once('=').ok_or(HttpError::Malformed)?;
        let tokens = || parse_number(value).and_then(|n| u32::try_from(n).ok()).ok_or(HttpError::Malformed);
        match name {
            "prefix" => new_request.prefix = Some(name_hash::prefix_key(value.as_bytes())),
            "prompt_len" => new_request.prompt_tokens = tokens()?,
            "prefix_len" => new_request.prefix_tokens = tokens()?,
            "max_out" => new_request.max_answer_tokens = tokens().ok().filter(|limit| *limit > 0),
            _ => {}
        }
    }
    Ok((new_request, Bytes::copy_from_slice(id)))
}

/// Parses a whole number that consists of digits only, without a sign.
fn parse_number(text: &str) -> Option<u64> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_digit()))
}

/// Serves one request.
pub async fn answer(
    context: &Rc<FrontContext>,
    connection: &mut ClientConnection,
    request: IncomingRequest,
) -> io::Result<AfterAnswer> {
    let (new_request, id) = match parse_request(context, &request, context.clock.now()) {
        Ok(parsed) => parsed,
        Err(rejection) => return reject(context, connection, rejection).await,
    };
    let idempotency_key = match request.idempotency_key() {
        Ok(key) => key,
        Err(error) => return reject(context, connection, error.into()).await,
    };
    if context.dispatcher.is_full() {
        return reject(context, connection, Rejection::Full).await;
    }
    let same_dialect = context.replicas.dialect == Dialect::Chat;
    let IncomingRequest { head, method, mut target, mut body, client: client_address, .. } = request;
    // Not needed any more, and the answer may take long.
    drop((head, method));
    if !same_dialect {
        // The replicas speak the messages dialect: request and events are translated.
        let Ok(conversation) = ConversationRequest::parse_chat(&body.bytes) else {
            return reject(context, connection, HttpError::Malformed.into()).await;
        };
        let bytes = conversation.messages_body(context.limits.default_max_tokens);
        let Some(reserved) = context.request_budget.reserve(bytes.len()) else {
            return reject(context, connection, Rejection::Full).await;
        };
        (target, body) = (
            Bytes::from_static(context.replicas.dialect.path()),
            BufferedBody { bytes: bytes.into(), reserved },
        );
    }
    let upstream_request = UpstreamRequest {
        id,
        method: Bytes::from_static(REQUEST_METHOD),
        target,
        body,
        idempotency_key,
        needs_event_text: !same_dialect,
        client_address,
    };
    let Some(mut handle) = context.dispatcher.submit(new_request, upstream_request) else {
        return reject(context, connection, Rejection::Twice).await;
    };
    let mut writer = ChatWriter::default();
    let mut head_pending = true;
    loop {
        match next_event(connection, &mut handle).await {
            NextEvent::Response(ResponseEvent::Data(bytes, events)) => {
                let bytes = if same_dialect { bytes } else { writer.write(&events) };
                if bytes.is_empty() {
                    continue;
                }
                write_chunk(
                    context,
                    connection,
                    take_stream_head(context, &mut head_pending, STREAM_HEAD, ""),
                    bytes,
                )
                .await?;
            }
            NextEvent::Response(ResponseEvent::End(FinalAnswer::Completed)) => {
                if !same_dialect {
                    let head = take_stream_head(context, &mut head_pending, STREAM_HEAD, "");
                    write_chunk(context, connection, head, writer.finish()).await?;
                }
                write(context, connection, &b"0\r\n\r\n"[..]).await?;
                return Ok(AfterAnswer::KeepOpen);
            }
            // No byte has been sent yet: a close without a response would make the client retry the request.
            NextEvent::Response(ResponseEvent::End(FinalAnswer::Interrupted)) if head_pending => {
                write_response(context, connection, 500, "", Bytes::from_static(b"failed\n")).await?;
                return Ok(AfterAnswer::Close);
            }
            // The last chunk is left out, so that the client sees an incomplete response.
            NextEvent::Response(ResponseEvent::End(FinalAnswer::Interrupted))
            | NextEvent::ClientDisconnected => return Ok(AfterAnswer::Close),
            NextEvent::Response(ResponseEvent::End(FinalAnswer::Rejected {
                retry_after: advice,
                reason: reject_reason,
            })) => {
                let fields = format!("Retry-After: {:.3}\r\n", retry_after_seconds(context, advice));
                let status = if reject_reason == RejectReason::QuotaExceeded { 429 } else { 503 };
                write_response(context, connection, status, &fields, Bytes::from_static(b"refused\n"))
                    .await?;
                return Ok(AfterAnswer::KeepOpenAfterRejection);
            }
            NextEvent::Response(ResponseEvent::End(FinalAnswer::Failed { past_deadline: timed_out })) => {
                let status = if timed_out { 504 } else { 500 };
                write_response(context, connection, status, "", Bytes::from_static(b"failed\n")).await?;
                return Ok(AfterAnswer::KeepOpen);
            }
        }
    }
}

/// Answers a rejected request.
pub async fn reject(
    context: &FrontContext,
    connection: &mut ClientConnection,
    rejection: Rejection,
) -> io::Result<AfterAnswer> {
    let status = rejection.status();
    let fields = match rejection {
        Rejection::Full => format!("Retry-After: {:.3}\r\n", retry_after_seconds(context, 0)),
        Rejection::Method => "Allow: POST\r\n".into(),
        _ => String::new(),
    };
    let body = Bytes::from_static(crate::http::reason_phrase(status).as_bytes());
    write_response(context, connection, status, &fields, body).await?;
    Ok(AfterAnswer::KeepOpenAfterRejection)
}
