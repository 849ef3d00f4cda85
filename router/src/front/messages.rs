//! The messages API, the second front: it uses the same core as the platform and differs in the events of its streams. Its
//! address, the classes of models and the header fields that identify tenants are in the settings file
//! (`deploy/tallypin.conf`); `docs/MESSAGES.md` describes the mapping between the dialects.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tallypin::api::{ClassId, Nanos, RejectReason, TenantId};
use tallypin::name_hash;

use super::{
    next_event, retry_after_seconds, take_stream_head, write, write_chunk, write_response, AfterAnswer,
    IncomingRequest, NextEvent, Rejection,
};
use super::{ClientConnection, FrontContext};
use crate::core::{FinalAnswer, NewRequest};
use crate::dialect::{CollectedAnswer, ConversationRequest, Dialect, MessagesWriter, StreamEvent};
use crate::dispatcher::{ResponseEvent, UpstreamRequest};
use crate::http::HttpError;
use crate::memory_budget::BufferedBody;

/// The path of requests.
const REQUEST_PATH: &[u8] = b"/v1/messages";
/// The maximum deadline that a client may set: one day.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// The error message of status 504.
const TIMEOUT_MESSAGE: &str = "no answer within the request's deadline";

/// The error message if the memory for answers without streaming is used up.
const NO_MEMORY_MESSAGE: &str = "too many answers without streaming are in progress; request a stream";

/// The head of a streamed response.
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
                       Transfer-Encoding: chunked\r\n\r\n";

/// The settings of this front.
#[derive(Debug, Clone, PartialEq)]
pub struct MessagesFront {
    /// The address that the front listens on.
    pub listen: SocketAddr,
    /// The dialect of the replicas.
    pub replica_dialect: Dialect,
    /// The class of each model.
    pub models: BTreeMap<String, ClassId>,
    /// The header field that identifies the tenant.
    pub tenant_header: String,
    /// The tenant of each value of `tenant_header`.
    pub tenants: BTreeMap<String, TenantId>,
    /// The tenant of requests without `tenant_header`; such requests are rejected if it is `None`.
    pub default_tenant: Option<TenantId>,
    /// The header field with the time that a client waits for the first event, ms.
    pub deadline_header: String,
}

/// A valid request, translated for the core and the replicas.
struct ParsedRequest {
    new_request: NewRequest,
    conversation: ConversationRequest,
    /// The translated body for replicas; `None` if the received body is forwarded unchanged.
    translated_body: Option<Vec<u8>>,
    idempotency_key: Option<Bytes>,
}

/// Why a request is rejected before it reaches the core.
#[derive(Debug, Clone, PartialEq, Eq)]
enum InvalidRequest {
    /// The request is malformed; with the error message.
    Invalid(String),
    /// The settings lack the requested model; with its name.
    UnknownModel(String),
    Rejection(Rejection),
}

impl From<HttpError> for InvalidRequest {
    fn from(error: HttpError) -> Self {
        InvalidRequest::Rejection(error.into())
    }
}

impl MessagesFront {
    fn parse_request(
        &self,
        context: &FrontContext,
        request: &IncomingRequest,
        now: Nanos,
    ) -> Result<ParsedRequest, InvalidRequest> {
        if request.path() != REQUEST_PATH {
            return Err(InvalidRequest::Rejection(Rejection::NotFound));
        }
        if &request.method[..] != b"POST" {
            return Err(InvalidRequest::Rejection(Rejection::Method));
        }
        if !request.head.is_http_11 {
            return Err(HttpError::Malformed.into());
        }
        let conversation = ConversationRequest::parse_messages(&request.body.bytes)
            .map_err(|error| InvalidRequest::Invalid(error.to_string()))?;
        let class = *self
            .models
            .get(&conversation.model)
            .ok_or_else(|| InvalidRequest::UnknownModel(conversation.model.clone()))?;
        let tenant = match request.head.text_value(&self.tenant_header)? {
            Some(value) => self.tenants.get(value).copied(),
            None => self.default_tenant,
        };
        let unknown = || {
            InvalidRequest::Invalid(format!(
                "{}: the header is missing or names an unknown partner",
                self.tenant_header
            ))
        };
        let tenant = tenant.ok_or_else(unknown)?;
        let deadline = match request.head.text_value(&self.deadline_header)? {
            None => context.deployment.classes[class.0 as usize].deadline,
            Some(ms) => {
                let ms = ms.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
                let invalid = || {
                    InvalidRequest::Invalid(format!(
                        "{}: expected a number of milliseconds from 1 to {MAX_DEADLINE_MS}",
                        self.deadline_header
                    ))
                };
                ms.ok_or_else(invalid)? * 1_000_000
            }
        };
        // Token counts are estimated at four bytes a token. The prefix is the model and the system prompt; the session adds
        // the first message, which all turns of a conversation share.
        let tokens = |bytes: usize| u32::try_from(bytes / 4).unwrap_or(u32::MAX);
        let prefix = [conversation.model.as_bytes(), b"\0", conversation.system.as_bytes()].concat();
        let session = [&prefix[..], b"\0", conversation.first_message().as_bytes()].concat();
        let new_request = NewRequest {
            class,
            tenant,
            time_left: request.time_left(now, deadline),
            prompt_tokens: tokens(conversation.prompt_size()),
            prefix_tokens: tokens(conversation.system.len()),
            session: Some(name_hash::session_key(&session)),
            prefix: (!conversation.system.is_empty()).then(|| name_hash::prefix_key(&prefix)),
            is_client_retry: false,
            max_answer_tokens: Some(u32::try_from(conversation.max_tokens).unwrap_or(u32::MAX)),
            // An answer that is not streamed is lost as a whole.
            is_resumable: context.deployment.resumes_streams && conversation.stream,
            resumes_stream: request.head.single_value("x-resume-of")?.is_some()
                && conversation.continues_answer(),
        };
        let translated_body = match context.replicas.dialect {
            Dialect::Messages if conversation.stream => None,
            Dialect::Messages => Some(conversation.streaming_body()),
            Dialect::Chat => Some(conversation.chat_body()),
        };
        let idempotency_key = request.idempotency_key()?;
        Ok(ParsedRequest { new_request, conversation, translated_body, idempotency_key })
    }

    /// Serves one request.
    pub async fn answer(
        &self,
        context: &Rc<FrontContext>,
        connection: &mut ClientConnection,
        request: IncomingRequest,
    ) -> io::Result<AfterAnswer> {
        let ParsedRequest { new_request, conversation, translated_body, idempotency_key } =
            match self.parse_request(context, &request, context.clock.now()) {
                Ok(parsed) => parsed,
                Err(error) => return write_invalid(context, connection, error).await,
            };
        if context.dispatcher.is_full() {
            return reject(context, connection, Rejection::Full).await;
        }
        let IncomingRequest { head, method, target, body: received_body, client: client_address, .. } =
            request;
        // Not needed any more, and the answer may take long.
        drop((head, method, target));
        let body = match translated_body {
            None => received_body,
            // The translated body replaces the received one.
            Some(body) => match context.request_budget.reserve(body.len()) {
                Some(reserved) => BufferedBody { bytes: body.into(), reserved },
                None => return reject(context, connection, Rejection::Full).await,
            },
        };
        let ConversationRequest { stream, model, .. } = conversation;
        let same_dialect = context.replicas.dialect == Dialect::Messages;
        let id = context.request_ids.generate();
        let (prompt_tokens, deadline) =
            (new_request.prompt_tokens, context.clock.now().saturating_add(new_request.time_left));
        let upstream_request = UpstreamRequest {
            id: Bytes::from(id.clone()),
            method: Bytes::from_static(b"POST"),
            target: Bytes::from_static(context.replicas.dialect.path()),
            body,
            idempotency_key,
            needs_event_text: !(same_dialect && stream),
            client_address,
        };
        let Some(mut handle) = context.dispatcher.submit(new_request, upstream_request) else {
            return reject(context, connection, Rejection::Twice).await;
        };
        let (mut head_pending, id_field) = (true, format!("Request-Id: {id}\r\n"));
        let mut head = || take_stream_head(context, &mut head_pending, STREAM_HEAD, &id_field);
        let mut writer = MessagesWriter::new(&id, &model, prompt_tokens);
        let (mut collected, mut failed) = (CollectedAnswer::default(), false);
        let mut collected_memory = context.answer_budget.empty_reservation();
        loop {
            let event = match next_event(connection, &mut handle).await {
                NextEvent::Response(event) => event,
                NextEvent::ClientDisconnected => return Ok(AfterAnswer::Close),
            };
            match event {
                ResponseEvent::Data(bytes, events) if stream => {
                    failed |= events.contains(&StreamEvent::Failed);
                    let bytes = if same_dialect { bytes } else { writer.write(&events) };
                    if !bytes.is_empty() {
                        write_chunk(context, connection, head(), bytes).await?;
                    }
                }
                ResponseEvent::Data(_, events) => {
                    events.into_iter().for_each(|event| collected.add(event));
                    if collected.text.len() > context.limits.max_collected_answer_size {
                        let message = "the answer exceeds the size limit for answers without streaming";
                        return write_error(context, connection, 500, "", message).await;
                    }
                    if !collected_memory.grow(collected.text.capacity()) {
                        return write_error(context, connection, 500, "", NO_MEMORY_MESSAGE).await;
                    }
                }
                ResponseEvent::End(FinalAnswer::Completed) if stream => {
                    let rest = if same_dialect { Bytes::new() } else { writer.finish() };
                    if !rest.is_empty() {
                        write_chunk(context, connection, head(), rest).await?;
                    }
                    write(context, connection, &b"0\r\n\r\n"[..]).await?;
                    return Ok(AfterAnswer::KeepOpen);
                }
                ResponseEvent::End(FinalAnswer::Completed) => {
                    let fields = format!("Content-Type: application/json\r\nRequest-Id: {id}\r\n");
                    let message = collected.to_message(&id, &model, prompt_tokens).to_string();
                    drop(collected);
                    if !collected_memory.grow(message.len()) {
                        return write_error(context, connection, 500, "", NO_MEMORY_MESSAGE).await;
                    }
                    write_response(context, connection, 200, &fields, message.into()).await?;
                    return Ok(AfterAnswer::KeepOpen);
                }
                // `message_stop` and the last chunk are left out: the client sees an incomplete answer and can resume it.
                ResponseEvent::End(FinalAnswer::Interrupted) if stream => {
                    if !(same_dialect && failed) {
                        let error = error_object(
                            "api_error",
                            "the stream was interrupted; resume it with the header x-resume-of",
                        );
                        let event = format!("event: error\ndata: {error}\n\n");
                        write_chunk(context, connection, head(), event.into()).await?;
                    }
                    return Ok(AfterAnswer::Close);
                }
                ResponseEvent::End(FinalAnswer::Interrupted) => {
                    return write_error(
                        context,
                        connection,
                        500,
                        "",
                        "the answer was interrupted before it was complete",
                    )
                    .await;
                }
                // A rejection after the deadline is answered as a timeout, not as an overload.
                ResponseEvent::End(FinalAnswer::Rejected {
                    retry_after: advice,
                    reason: RejectReason::NoCapacity,
                }) if context.clock.now() >= deadline => {
                    return write_error(
                        context,
                        connection,
                        504,
                        &retry_fields(context, advice),
                        TIMEOUT_MESSAGE,
                    )
                    .await;
                }
                ResponseEvent::End(FinalAnswer::Rejected { retry_after: advice, reason: reject_reason }) => {
                    let (status, message) = match reject_reason {
                        RejectReason::QuotaExceeded => (429, "the partner's request quota is exceeded"),
                        RejectReason::NoCapacity => {
                            (529, "no model node can start the request within its deadline")
                        }
                    };
                    return write_error(context, connection, status, &retry_fields(context, advice), message)
                        .await;
                }
                ResponseEvent::End(FinalAnswer::Failed { past_deadline: true }) => {
                    // The response has no Retry-After, as a replica may have run the request.
                    return write_error(context, connection, 504, "", TIMEOUT_MESSAGE).await;
                }
                ResponseEvent::End(FinalAnswer::Failed { past_deadline: false }) => {
                    return write_error(context, connection, 500, "", "no attempt succeeded").await;
                }
            }
        }
    }
}

/// Retry-After in whole seconds, as clients of this API expect it, and Retry-After-Ms in milliseconds.
fn retry_fields(context: &FrontContext, advice: Nanos) -> String {
    let seconds = retry_after_seconds(context, advice);
    format!("Retry-After: {:.0}\r\nRetry-After-Ms: {:.0}\r\n", seconds.ceil(), (seconds * 1e3).ceil())
}

/// The JSON object of an error.
fn error_object(kind: &str, message: &str) -> serde_json::Value {
    json!({"type": "error", "error": {"type": kind, "message": message}})
}

/// Writes an error response; its type follows from the status.
async fn write_error(
    context: &FrontContext,
    connection: &mut ClientConnection,
    status: u16,
    fields: &str,
    message: &str,
) -> io::Result<AfterAnswer> {
    let kind = match status {
        404 => "not_found_error",
        413 => "request_too_large",
        429 => "rate_limit_error",
        504 => "timeout_error",
        529 => "overloaded_error",
        500.. => "api_error",
        _ => "invalid_request_error",
    };
    let fields = format!("{fields}Content-Type: application/json\r\n");
    write_response(context, connection, status, &fields, error_object(kind, message).to_string().into())
        .await?;
    Ok(AfterAnswer::KeepOpenAfterRejection)
}

async fn write_invalid(
    context: &FrontContext,
    connection: &mut ClientConnection,
    error: InvalidRequest,
) -> io::Result<AfterAnswer> {
    match error {
        InvalidRequest::Invalid(message) => write_error(context, connection, 400, "", &message).await,
        InvalidRequest::UnknownModel(model) => {
            write_error(context, connection, 404, "", &format!("model: {model}")).await
        }
        InvalidRequest::Rejection(rejection) => reject(context, connection, rejection).await,
    }
}

/// Answers a rejected request.
pub async fn reject(
    context: &FrontContext,
    connection: &mut ClientConnection,
    rejection: Rejection,
) -> io::Result<AfterAnswer> {
    let (status, fields) = match rejection {
        Rejection::Full => (529, retry_fields(context, 0)),
        Rejection::Method => (405, "Allow: POST\r\n".into()),
        rejection => (rejection.status(), String::new()),
    };
    write_error(context, connection, status, &fields, crate::http::reason_phrase(status)).await
}
