//! Tests of what is kept and dropped of the input that a client sends ahead.

use bytes::Buf;

use super::*;

/// The size of a request in these tests, in bytes.
const REQUEST_SIZE: usize = 1000;

/// Limits under which five requests fit into a head, and ten into what is read ahead.
fn limits() -> Rc<Limits> {
    let limits = Limits::new(64, 512, &tallypin::deployment::parse(r#"{"ReplicasOfMe": 1}"#).unwrap());
    Rc::new(Limits { max_head_size: 5 * REQUEST_SIZE, max_read_ahead: 10 * REQUEST_SIZE, ..limits })
}

fn request() -> Vec<u8> {
    let head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ";
    let length = REQUEST_SIZE - head.len() - "000\r\n\r\n".len();
    let request = format!("{head}{length:03}\r\n\r\n{}", "x".repeat(length));
    assert_eq!(request.len(), REQUEST_SIZE);
    request.into_bytes()
}

/// A connection whose input is passed to the state under test.
struct Input {
    read_ahead: ReadAhead,
    buffer: BytesMut,
    received: u64,
}

impl Input {
    fn new(budget: &MemoryBudget) -> Input {
        let read_ahead = ReadAhead::new(limits(), budget.clone());
        Input { read_ahead, buffer: BytesMut::new(), received: 0 }
    }

    /// Appends input to the buffer without the state under test, as when the request that is answered next is read.
    fn read_without_scan(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.received += bytes.len() as u64;
    }

    fn begin(&mut self) {
        self.read_ahead.begin(self.buffer.len(), self.received);
        self.scan();
    }

    /// Moves the buffer to an allocation of `capacity` bytes.
    fn set_capacity(&mut self, capacity: usize) {
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
    }

    fn scan(&mut self) {
        while self.read_ahead.scan_next(&mut self.buffer) {}
    }

    fn receive(&mut self, bytes: &[u8]) {
        self.read_without_scan(bytes);
        self.read_ahead.record(self.received);
        self.scan();
    }
}

#[test]
fn keeps_complete_requests_up_to_the_limit_and_counts_the_others() {
    let budget = MemoryBudget::new(1 << 20);
    // Requests arrive in pieces of several sizes, the first ones together with the request that is being answered.
    for size in [1, 7, 999, 1000, 1001, 7777] {
        let mut input = Input::new(&budget);
        input.read_without_scan(&request().repeat(2));
        input.begin();
        let (more, partial) = (request().repeat(20), &request()[..300]);
        [&more, partial].concat().chunks(size).for_each(|piece| input.receive(piece));
        let kept = input.buffer.len() / REQUEST_SIZE;
        assert!((3..=10).contains(&kept), "pieces of {size} bytes: {kept} requests kept");
        assert_eq!(input.buffer, request().repeat(kept)[..], "pieces of {size} bytes");
        assert_eq!(kept + input.read_ahead.dropped_requests(), 22, "pieces of {size} bytes");
        assert!(input.read_ahead.is_within_dropped_request());
        input.receive(&request()[300..]);
        assert_eq!(kept + input.read_ahead.dropped_requests(), 23, "pieces of {size} bytes");
        assert!(!input.read_ahead.is_within_dropped_request());
    }
}

#[test]
fn a_request_that_is_taken_from_the_buffer_leaves_the_others() {
    let budget = MemoryBudget::new(1 << 20);
    let mut input = Input::new(&budget);
    input.begin();
    input.receive(&request().repeat(9));
    input.receive(&request()[..400]);
    for taken in 1..=9 {
        input.buffer.advance(REQUEST_SIZE);
        input.begin();
        assert!(!input.read_ahead.drops_input());
        assert_eq!(input.buffer.len(), (9 - taken) * REQUEST_SIZE + 400);
    }
    // The last request is completed by an ordinary read, which also brings the beginning of another one.
    input.read_without_scan(&request()[400..]);
    input.read_without_scan(&request()[..200]);
    input.buffer.advance(REQUEST_SIZE);
    input.begin();
    input.receive(&request()[200..]);
    input.receive(&request().repeat(30));
    assert_eq!(input.buffer.len() % REQUEST_SIZE, 0);
    assert_eq!(input.buffer.len() / REQUEST_SIZE + input.read_ahead.dropped_requests(), 31);
}

/// The memory is counted: the capacity of the buffer, and what the scanner keeps. Each connection may use that of one read.
#[test]
fn input_is_dropped_where_the_shared_budget_is_used_up() {
    let budget = MemoryBudget::new(8 * REQUEST_SIZE);
    let (mut first, mut second) = (Input::new(&budget), Input::new(&budget));
    first.begin();
    second.begin();
    first.set_capacity(10 * REQUEST_SIZE);
    (0..7).for_each(|_| first.receive(&request()));
    assert_eq!((first.buffer.len(), first.read_ahead.dropped_requests()), (7 * REQUEST_SIZE, 0));
    let held = first.buffer.capacity() + first.read_ahead.scanner.memory_size() - UNRESERVED_INPUT;
    assert_eq!(budget.available(), 8 * REQUEST_SIZE - held);
    second.set_capacity(UNRESERVED_INPUT - REQUEST_SIZE);
    (0..2).for_each(|_| second.receive(&request()));
    second.set_capacity(8 * REQUEST_SIZE);
    (0..5).for_each(|_| second.receive(&request()));
    assert_eq!((second.buffer.len(), second.read_ahead.dropped_requests()), (2 * REQUEST_SIZE, 5));
    first.buffer.clear();
    first.begin();
    assert_eq!(budget.available(), 8 * REQUEST_SIZE, "an empty buffer needs no memory");
}

#[test]
fn a_buffer_does_not_grow_beyond_the_budget() {
    let mut input = Input::new(&MemoryBudget::new(8 * REQUEST_SIZE));
    input.begin();
    assert!(input.read_ahead.may_grow(UNRESERVED_INPUT + 8 * REQUEST_SIZE));
    assert!(!input.read_ahead.may_grow(UNRESERVED_INPUT + 9 * REQUEST_SIZE));
    input.receive(&request());
    assert_eq!((input.buffer.len(), input.read_ahead.dropped_requests()), (0, 1));
}

#[test]
fn a_malformed_request_beyond_the_limit_is_the_last_one_counted() {
    let mut input = Input::new(&MemoryBudget::new(1 << 20));
    input.begin();
    input.receive(&request().repeat(12));
    let counted = input.read_ahead.dropped_requests();
    input.receive(b"NONSENSE\r\n\r\n");
    input.receive(&request().repeat(12));
    assert_eq!(input.read_ahead.dropped_requests(), counted + 1);
    assert!(!input.read_ahead.is_within_dropped_request());
}
