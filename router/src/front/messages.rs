//! The messages API: the second front. It names the events of a stream differently, and goes through the
//! same core. What it listens on, which class a model belongs to and how tenants are recognised stands in
//! the settings file (`deploy/tallypin.conf`); `docs/MESSAGES.md` has the mapping.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tallypin::api::{ClassId, Nanos, RejectReason, TenantId};
use tallypin::name_hash;

use super::FrontContext;
use super::{
    next, opening, retry_after, write, write_chunk, write_whole, AfterAnswer, Incoming, Next, Rejection,
};
use crate::body_budget::BufferedBody;
use crate::core::{FinalAnswer, NewRequest};
use crate::dialect::{CollectedAnswer, ConversationRequest, Dialect, MessagesWriter, StreamEvent};
use crate::dispatcher::{ResponseEvent, UpstreamRequest};
use crate::http::{BufferedConnection, HttpError};

/// The path of requests.
const PATH: &[u8] = b"/v1/messages";
/// A wait above this is no wait.
const ABSURD_MS: u64 = 24 * 3600 * 1000;

const LATE: &str = "nothing came in time";

const BEGUN: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
                       Transfer-Encoding: chunked\r\n\r\n";

/// This front: what it listens on, which class a model belongs to, how tenants are recognised.
#[derive(Debug, Clone, PartialEq)]
pub struct MessagesFront {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The dialect of the model nodes.
    pub nodes: Dialect,
    /// The class of each model.
    pub models: BTreeMap<String, ClassId>,
    /// The header field by which a tenant is recognised,
    pub tenant_header: String,
    /// whose values mean these.
    pub tenants: BTreeMap<String, TenantId>,
    /// The tenant of a request without it.
    pub default_tenant: Option<TenantId>,
    /// The header field in which a client says how long it waits for the first event.
    pub deadline_header: String,
}

/// A request of this front that was understood.
struct ParsedRequest {
    ask: NewRequest,
    asked: ConversationRequest,
    /// The body as model nodes are to get it; `None`: as it came.
    body: Option<Vec<u8>>,
    idempotency_key: Option<Bytes>,
}

/// Why a request cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
enum InvalidRequest {
    /// With the front's own words.
    Invalid(String),
    NoModel(String),
    Rejection(Rejection),
}

impl From<HttpError> for InvalidRequest {
    fn from(bad: HttpError) -> Self {
        InvalidRequest::Rejection(bad.into())
    }
}

impl MessagesFront {
    fn read(
        &self,
        context: &FrontContext,
        request: &Incoming,
        now: Nanos,
    ) -> Result<ParsedRequest, InvalidRequest> {
        if request.path() != PATH {
            return Err(InvalidRequest::Rejection(Rejection::NotFound));
        }
        if &request.method[..] != b"POST" {
            return Err(InvalidRequest::Rejection(Rejection::Method));
        }
        if !request.head.is_http_11 {
            return Err(HttpError::Malformed.into());
        }
        let asked = ConversationRequest::parse_messages(&request.body.bytes)
            .map_err(|error| InvalidRequest::Invalid(error.to_string()))?;
        let class =
            *self.models.get(&asked.model).ok_or_else(|| InvalidRequest::NoModel(asked.model.clone()))?;
        let tenant = match request.head.text_value(&self.tenant_header)? {
            Some(value) => self.tenants.get(value).copied(),
            None => self.default_tenant,
        };
        let unknown = || InvalidRequest::Invalid(format!("{}: not a known partner", self.tenant_header));
        let tenant = tenant.ok_or_else(unknown)?;
        let wait = match request.head.text_value(&self.deadline_header)? {
            None => context.deployment.classes[class.0 as usize].deadline,
            Some(ms) => {
                let ms = ms.parse().ok().filter(|ms| (1..=ABSURD_MS).contains(ms));
                let bad = || InvalidRequest::Invalid(format!("{}: not a wait", self.deadline_header));
                ms.ok_or_else(bad)? * 1_000_000
            }
        };
        // One token is four characters. Conversations share their system prompt, and each has its own
        // first message, which all its turns begin with.
        let tokens = |text: usize| u32::try_from(text / 4).unwrap_or(u32::MAX);
        let beginning = [asked.model.as_bytes(), b"\0", asked.system.as_bytes()].concat();
        let session = [&beginning[..], b"\0", asked.first_message().as_bytes()].concat();
        let ask = NewRequest {
            class,
            tenant,
            time_left: request.left(now, wait),
            prompt_tokens: tokens(asked.prompt_size()),
            prefix_tokens: tokens(asked.system.len()),
            session: Some(name_hash::session_key(&session)),
            prefix: (!asked.system.is_empty()).then(|| name_hash::prefix_key(&beginning)),
            is_client_retry: false,
            resumes_stream: request.head.single_value("x-resume-of")?.is_some() && asked.continues_answer(),
        };
        let body = match context.replicas.dialect {
            Dialect::Messages if asked.stream => None,
            Dialect::Messages => Some(asked.streaming_body()),
            Dialect::Chat => Some(asked.chat_body()),
        };
        let idempotency_key = request.idempotency_key()?;
        Ok(ParsedRequest { ask, asked, body, idempotency_key })
    }

    /// Answers one request.
    pub async fn answer(
        &self,
        context: &Rc<FrontContext>,
        wire: &mut BufferedConnection,
        request: Incoming,
    ) -> io::Result<AfterAnswer> {
        let ParsedRequest { ask, asked, body, idempotency_key } =
            match self.read(context, &request, context.clock.now()) {
                Ok(understood) => understood,
                Err(why) => return refuse(context, wire, why).await,
            };
        if context.dispatcher.is_full() {
            return reject(context, wire, Rejection::Full).await;
        }
        let body = match body {
            None => request.body,
            // The translated body takes the place of the one that came.
            Some(body) => match context.body_budget.reserve(body.len()) {
                Some(reserved) => BufferedBody { bytes: body.into(), reserved },
                None => return reject(context, wire, Rejection::Full).await,
            },
        };
        let same = context.replicas.dialect == Dialect::Messages;
        let id = context.request_ids.generate();
        let (prompt_tokens, deadline) =
            (ask.prompt_tokens, context.clock.now().saturating_add(ask.time_left));
        let prompt = UpstreamRequest {
            id: Bytes::from(id.clone()),
            method: Bytes::from_static(b"POST"),
            target: Bytes::from_static(context.replicas.dialect.path()),
            body,
            idempotency_key,
            text: !(same && asked.stream),
            client: request.client,
        };
        let Some(mut ticket) = context.dispatcher.submit(ask, prompt) else {
            return reject(context, wire, Rejection::Twice).await;
        };
        let (mut unsaid, named) = (true, format!("Request-Id: {id}\r\n"));
        let mut head = || opening(context, &mut unsaid, BEGUN, &named);
        let mut writer = MessagesWriter::new(&id, &asked.model, prompt_tokens);
        let (mut whole, mut failed) = (CollectedAnswer::default(), false);
        loop {
            let piece = match next(context, wire, &mut ticket).await {
                Next::Piece(piece) => piece,
                Next::Left => return Ok(AfterAnswer::Close),
            };
            match piece {
                ResponseEvent::Data(bytes, told) if asked.stream => {
                    failed |= told.contains(&StreamEvent::Failed);
                    let bytes = if same { bytes } else { writer.write(&told) };
                    if !bytes.is_empty() {
                        write_chunk(context, wire, head(), bytes).await?;
                    }
                }
                ResponseEvent::Data(_, told) => {
                    told.into_iter().for_each(|event| whole.add(event));
                    if whole.text.len() > context.limits.max_collected_answer_size {
                        return error(context, wire, 500, "", "the answer is too long to be given whole")
                            .await;
                    }
                }
                ResponseEvent::End(FinalAnswer::Completed) if asked.stream => {
                    let rest = if same { Bytes::new() } else { writer.finish() };
                    if !rest.is_empty() {
                        write_chunk(context, wire, head(), rest).await?;
                    }
                    write(context, wire, &b"0\r\n\r\n"[..]).await?;
                    return Ok(AfterAnswer::KeepOpen);
                }
                ResponseEvent::End(FinalAnswer::Completed) => {
                    let fields = format!("Content-Type: application/json\r\nRequest-Id: {id}\r\n");
                    let message = whole.to_message(&id, &asked.model, prompt_tokens);
                    write_whole(context, wire, 200, &fields, message.to_string().into()).await?;
                    return Ok(AfterAnswer::KeepOpen);
                }
                // No `message_stop`, no last chunk: the client knows where it stands, and asks for the rest.
                ResponseEvent::End(FinalAnswer::Interrupted) if asked.stream => {
                    if !(same && failed) {
                        let shape = shape("api_error", "the stream broke; x-resume-of asks for the rest");
                        let event = format!("event: error\ndata: {shape}\n\n");
                        write_chunk(context, wire, head(), event.into()).await?;
                    }
                    return Ok(AfterAnswer::Close);
                }
                ResponseEvent::End(FinalAnswer::Interrupted) => {
                    return error(context, wire, 500, "", "the answer broke off").await;
                }
                // Refused only when its time was up: that is what the client has to know.
                ResponseEvent::End(FinalAnswer::Rejected {
                    retry_after: advice,
                    reason: RejectReason::NoCapacity,
                }) if context.clock.now() >= deadline => {
                    return error(context, wire, 504, &come_back(context, advice), LATE).await;
                }
                ResponseEvent::End(FinalAnswer::Rejected { retry_after: advice, reason: why }) => {
                    let (status, why) = match why {
                        RejectReason::QuotaExceeded => (429, "over the partner's share"),
                        RejectReason::NoCapacity => (529, "no model node would begin in time"),
                    };
                    return error(context, wire, status, &come_back(context, advice), why).await;
                }
                ResponseEvent::End(FinalAnswer::Failed { past_deadline: true }) => {
                    // No word on when to come back: it may have run.
                    return error(context, wire, 504, "", LATE).await;
                }
                ResponseEvent::End(FinalAnswer::Failed { past_deadline: false }) => {
                    return error(context, wire, 500, "", "no attempt succeeded").await;
                }
            }
        }
    }
}

/// Clients of this API want whole seconds; a second field has the finer advice.
fn come_back(context: &FrontContext, advice: Nanos) -> String {
    let seconds = retry_after(context, advice);
    format!("Retry-After: {:.0}\r\nRetry-After-Ms: {:.0}\r\n", seconds.ceil(), (seconds * 1e3).ceil())
}

fn shape(kind: &str, message: &str) -> serde_json::Value {
    json!({"type": "error", "error": {"type": kind, "message": message}})
}

async fn error(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    status: u16,
    fields: &str,
    why: &str,
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
    write_whole(context, wire, status, &fields, shape(kind, why).to_string().into()).await?;
    Ok(AfterAnswer::KeepOpenAfterRejection)
}

async fn refuse(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    why: InvalidRequest,
) -> io::Result<AfterAnswer> {
    match why {
        InvalidRequest::Invalid(why) => error(context, wire, 400, "", &why).await,
        InvalidRequest::NoModel(model) => error(context, wire, 404, "", &format!("model: {model}")).await,
        InvalidRequest::Rejection(why) => reject(context, wire, why).await,
    }
}

/// Answers what is no request that could be taken.
pub async fn reject(
    context: &FrontContext,
    wire: &mut BufferedConnection,
    why: Rejection,
) -> io::Result<AfterAnswer> {
    let (status, fields) = match why {
        Rejection::Full => (529, come_back(context, 0)),
        Rejection::Method => (405, "Allow: POST\r\n".into()),
        why => (why.status(), String::new()),
    };
    error(context, wire, status, &fields, crate::http::reason_phrase(status)).await
}
