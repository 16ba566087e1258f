"""Bad input to entry and agent: each gets a clear refusal, and all stay up."""

from __future__ import annotations

import json
import socket
from contextlib import closing

import attrs
import openai
import orjson
import pytest

from lacewingcourse.core.configuration import Model
from lacewingcourse.core.errors import ErrorKind
from lacewingcourse.testing.deployment import MODEL, SERVICE
from lacewingcourse.testing.requests import put_json
from lacewingcourse.testing.standins.model import expected_text
from lacewingcourse.wire import paths
from lacewingcourse.wire.auth import AUTH_HEADER, sign

#: Guard on what a test waits for, in seconds.
TIMEOUT = 30.0
#: Bytes of a body at the most in this deployment.
BODY_LIMIT = 2 * Model("", 1).max_prompt


@pytest.fixture(scope="module")
def deployment(start_deployment):
    """A deployment with narrow bounds."""
    variables = {
        "LACEWINGCOURSE_MAX_BODY_BYTES": str(BODY_LIMIT),
        "LACEWINGCOURSE_HEADER_TIMEOUT": "0.5",
        "LACEWINGCOURSE_BODY_TIMEOUT": "0.5",
    }
    return start_deployment(
        endpoints=2, entry_variables=variables, agent_variables=variables
    )


@pytest.fixture(autouse=True)
def still_serves(deployment):
    """After each test every process still runs and a good request is served."""
    yield
    assert all(process.alive() for process in deployment.processes())
    answer = call(deployment, "POST", "/v1/completions", completion())
    assert answer.status == 200
    layers = deployment.options.layers
    text = answer.document["choices"][0]["text"]
    assert text == expected_text(MODEL, "1", layers, "a b", 2)


@attrs.frozen
class Answer:
    """An HTTP response.

    Attributes:
        status: HTTP status; 0 if the connection was closed without an answer.
        headers: Headers by lower-case name.
        document: The JSON of the body, or an empty object.
    """

    status: int
    headers: dict[str, str] = attrs.field(factory=dict)
    document: dict = attrs.field(factory=dict)


def port_of(process) -> int:
    return int(process.listen_url.rpartition(":")[2])


def read_answer(stream) -> Answer:
    """Read one response from a connection's file."""
    line = stream.readline()
    if not line:
        return Answer(0)
    headers = {}
    while (header := stream.readline().strip()) != b"":
        name, _, value = header.decode().partition(":")
        headers[name.lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return Answer(int(line.split()[1]), headers, json.loads(body) if body else {})


def exchange(process, *pieces: bytes, answers: int = 1) -> list[Answer]:
    """Send raw bytes over one connection and read so many answers."""
    address = ("127.0.0.1", port_of(process))
    with closing(socket.create_connection(address, TIMEOUT)) as connection:
        for piece in pieces:
            connection.sendall(piece)
        with connection.makefile("rb") as stream:
            return [read_answer(stream) for _ in range(answers)]


def request_bytes(method: str, path: str, headers: dict, body: bytes = b"") -> bytes:
    """Return an HTTP request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: entry"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body and "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def bearer(deployment) -> dict[str, str]:
    return {"Authorization": f"Bearer {deployment.keys['regie']}"}


def call(deployment, method: str, path: str, body=b"", **headers: str) -> Answer:
    """Send one request to the entry with a good key."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    sent = request_bytes(method, path, {**bearer(deployment), **named}, data)
    return exchange(deployment.entries[0], sent)[0]


def completion(**fields) -> dict:
    """Return a good request for a completion with some fields changed."""
    return {"model": MODEL, "prompt": "a b", "max_tokens": 2, **fields}


def refused(answer: Answer, kind: ErrorKind, outcome: str = "not_run") -> None:
    """Check that an answer is a problem document of a kind."""
    assert answer.document.get("kind") == kind.value, answer
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.document["status"] == answer.status
    assert answer.document["outcome"] == outcome
    assert answer.document["error"]["code"] == kind.value
    assert answer.document["error"]["message"]


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"null", b'"text"', b"\xff\xfe", b"[" * 5000, b'{"model": NaN}'],
)
def test_body_that_is_no_json_object(deployment, body):
    answer = call(deployment, "POST", "/v1/completions", body)
    refused(answer, ErrorKind.MALFORMED)


@pytest.mark.parametrize(
    ("fields", "pointer"),
    [
        ({"nonsense": 1}, "/nonsense"),
        ({"model": 7}, "/model"),
        ({"model": None}, "/model"),
        ({"prompt": 7}, "/prompt"),
        ({"prompt": ["a", "b"]}, "/prompt"),
        ({"prompt": [1, 2]}, "/prompt"),
        ({"max_tokens": 0}, "/max_tokens"),
        ({"max_tokens": -1}, "/max_tokens"),
        ({"max_tokens": 1.5}, "/max_tokens"),
        ({"max_tokens": True}, "/max_tokens"),
        ({"max_tokens": 10**30}, "/max_tokens"),
        ({"max_completion_tokens": "9"}, "/max_completion_tokens"),
        ({"temperature": "hot"}, "/temperature"),
        ({"temperature": -0.1}, "/temperature"),
        ({"temperature": 1e300}, "/temperature"),
        ({"seed": 2**64}, "/seed"),
        ({"seed": "x"}, "/seed"),
        ({"stop": 7}, "/stop"),
        ({"stop": ["a"] * 17}, "/stop"),
        ({"stop": ["x", ""]}, "/stop/1"),
        ({"stream": "yes"}, "/stream"),
        ({"stream_options": []}, "/stream_options"),
        ({"n": 2}, "/n"),
        ({"n": True}, "/n"),
        ({"logprobs": 5}, "/logprobs"),
        ({"top_p": 0.5}, "/top_p"),
        ({"tools": [{"type": "function"}]}, "/tools"),
        ({"response_format": {"type": "json_object"}}, "/response_format"),
    ],
)
def test_bad_field_is_pointed_at(deployment, fields, pointer):
    answer = call(deployment, "POST", "/v1/completions", completion(**fields))
    refused(answer, ErrorKind.INVALID_FIELD)
    assert answer.document["pointer"] == pointer


@pytest.mark.parametrize(
    ("messages", "pointer"),
    [
        ([], "/messages"),
        (["hello"], "/messages/0"),
        ([{"role": [], "content": "x"}], "/messages/0/role"),
        ([{"role": "user"}], "/messages/0/content"),
        (
            [{"role": "user", "content": [{"type": "image_url", "text": "x"}]}],
            "/messages/0/content",
        ),
    ],
)
def test_bad_message_is_pointed_at(deployment, messages, pointer):
    body = {"model": MODEL, "messages": messages}
    answer = call(deployment, "POST", "/v1/chat/completions", body)
    refused(answer, ErrorKind.INVALID_FIELD)
    assert answer.document["pointer"] == pointer


def test_unknown_names(deployment):
    answer = call(deployment, "POST", "/v1/completions", completion(model="none"))
    refused(answer, ErrorKind.UNKNOWN_MODEL)
    named = completion()
    answer = call(deployment, "POST", "/v1/completions", named, X_Work_Class="none")
    refused(answer, ErrorKind.UNKNOWN_CLASS)
    answer = call(deployment, "GET", "/services/none/tallies")
    refused(answer, ErrorKind.UNKNOWN_SERVICE)
    refused(call(deployment, "GET", "/v2/none"), ErrorKind.UNKNOWN_RESOURCE)
    answer = call(deployment, "DELETE", "/v1/completions")
    refused(answer, ErrorKind.METHOD_NOT_ALLOWED)
    refused(call(deployment, "BREW", "/v1/models"), ErrorKind.METHOD_NOT_ALLOWED)


def test_prompt_headers_and_body_over_their_bounds(deployment):
    body = completion(prompt="x" * (BODY_LIMIT // 2 + 1))
    answer = call(deployment, "POST", "/v1/completions", body)
    refused(answer, ErrorKind.PROMPT_TOO_LONG)
    answer = call(deployment, "GET", "/v1/models", X_Long="x" * 20_000)
    refused(answer, ErrorKind.TOO_LARGE)
    refused(call(deployment, "GET", "/" + "x" * 20_000), ErrorKind.TOO_LARGE)
    body = completion(prompt="x" * BODY_LIMIT)
    answer = call(deployment, "POST", "/v1/completions", body)
    refused(answer, ErrorKind.TOO_LARGE)


def test_body_over_the_bound_is_refused_before_it_arrives(deployment):
    headers = {**bearer(deployment), "Content-Length": str(10**12)}
    sent = request_bytes("POST", "/v1/completions", headers)
    refused(exchange(deployment.entries[0], sent)[0], ErrorKind.TOO_LARGE)
    headers = {**bearer(deployment), "Transfer-Encoding": "chunked"}
    sent = request_bytes("POST", "/v1/completions", headers)
    chunk = b"%x\r\n" % BODY_LIMIT + b"x" * BODY_LIMIT + b"\r\n"
    answer = exchange(deployment.entries[0], sent, chunk, chunk)[0]
    refused(answer, ErrorKind.TOO_LARGE)


def test_slow_headers_and_body_are_ended(deployment):
    for process in (deployment.entries[0], deployment.endpoints[0].agent):
        answer = exchange(process, b"POST /v1/completions HTTP/1.1\r\nHost: a")[0]
        refused(answer, ErrorKind.REQUEST_TIMEOUT)
        headers = {**bearer(deployment), "Content-Length": "1000"}
        sent = request_bytes("POST", "/v1/completions", headers)
        answer = exchange(process, sent, b'{"model"')[0]
        refused(answer, ErrorKind.REQUEST_TIMEOUT)
        assert "retry-after" in answer.headers


@pytest.mark.parametrize(
    "authorization",
    ["", "Bearer", "Bearer ", "Bearer wrong", "Basic cmVnaWU6eA==", "Bearer \xe9\xe9"],
)
def test_missing_or_wrong_key_lets_nobody_in(deployment, authorization):
    for path in ("/v1/completions", f"/services/{SERVICE}/tallies"):
        headers = {"Authorization": authorization} if authorization else {}
        body = json.dumps(completion()).encode()
        sent = request_bytes("POST", path, headers, body)
        answer = exchange(deployment.entries[0], sent)[0]
        refused(answer, ErrorKind.UNAUTHENTICATED)
        assert answer.headers["www-authenticate"] == "Bearer"


@pytest.mark.parametrize(
    "sent",
    [
        b"nonsense\r\n\r\n",
        b"GET /v1/models HTTP/9.9\r\nHost: a\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nHost a\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nHost: a\r\nX-A: b\rX-C: d\r\n\r\n",
        b"GET /v1/models HTTP/1.1\r\nHost: a\r\nX-A: \x00\r\n\r\n",
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 2\r\n\r\n",
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"POST /v1/models HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\n",
    ],
)
def test_request_that_is_no_http(deployment, sent):
    refused(exchange(deployment.entries[0], sent)[0], ErrorKind.MALFORMED)


def test_pipelined_requests_are_answered_in_order(deployment):
    good = request_bytes("GET", "/v1/models", bearer(deployment))
    body = json.dumps(completion()).encode()
    post = request_bytes("POST", "/v1/completions", bearer(deployment), body)
    bad = request_bytes("GET", "/none", {})
    found = exchange(deployment.entries[0], post + good + bad + good, answers=4)
    assert [answer.status for answer in found] == [200, 200, 404, 200]
    assert found[0].document["object"] == "text_completion"
    assert found[1].document == found[3].document


@pytest.mark.parametrize(
    "path",
    [
        "../faults",
        "x/../tallies",
        "./tallies",
        "/tallies",
        "x//tallies",
        "%2e%2e/faults",
        "x/%2E%2E/tallies",
        "x%2f..%2ftallies",
        "..%5cfaults",
        "%zz",
        "%",
        "%ff",
        "a%00b",
        "a%0d%0aHost:%20b",
        "tallies?a=\xe9",
    ],
)
def test_path_that_leads_elsewhere_is_not_passed_on(deployment, path):
    answer = call(deployment, "POST", f"/services/{SERVICE}/{path}", b"{}")
    refused(answer, ErrorKind.MALFORMED)
    url = deployment.service.engine.url + "/tallies"
    assert put_json(url, None, "GET")["tallies"] == []


def test_service_sees_one_spelling_and_no_connection_headers(deployment):
    answer = call(
        deployment,
        "PUT",
        f"/services/{SERVICE}/echo/%74%41lly%20a%7Eb?q=%2e%2e",
        b"\x00\xff",
        X_HTTP_Method_Override="POST",
        Connection="close, X-Hop",
        X_Hop="1",
        X_Kept="a: b",
        X_Lacewingcourse_Auth="forged",
    )
    assert answer.status == 200
    assert answer.document["uri"] == "/echo/tAlly%20a~b?q=%2e%2e"
    assert answer.document["method"] == "PUT"
    headers = {name.lower(): value for name, value in answer.document["headers"]}
    assert headers["x-kept"] == "a: b"
    assert "x-hop" not in headers
    assert "x-http-method-override" not in headers
    assert "authorization" not in headers


def wire(deployment, process, path: str, message, secret: str | None = None) -> Answer:
    """Send a message as another process of the deployment would."""
    body = orjson.dumps(message)
    proof = sign(secret or deployment.shared_secret, path, body)
    sent = request_bytes("POST", path, {AUTH_HEADER: proof}, body)
    return exchange(process, sent)[0]


@pytest.mark.parametrize("proof", [None, "", "0" * 64, "\xe9", "forged"])
def test_message_of_a_stranger_is_refused(deployment, proof):
    agent, entry = deployment.endpoints[0].agent, deployment.entries[0]
    for process, path in (
        (agent, paths.OPEN_STAGE),
        (agent, paths.HOPS),
        (agent, paths.REVOKE),
        (agent, paths.STATUS),
        (deployment.service.agent, paths.CALL),
        (entry, paths.TOKENS),
        (entry, paths.TROUBLES),
    ):
        headers = {} if proof is None else {AUTH_HEADER: proof}
        sent = request_bytes("POST", path, headers, b"{}")
        refused(exchange(process, sent)[0], ErrorKind.STRANGER)
        answer = wire(deployment, process, path, {}, secret="another secret")
        refused(answer, ErrorKind.STRANGER)


def test_proof_of_one_message_does_not_fit_another(deployment):
    agent = deployment.endpoints[0].agent
    proof = sign(deployment.shared_secret, paths.STATUS, b"{}")
    for path, body in ((paths.REVOKE, b"{}"), (paths.STATUS, b"{ }")):
        sent = request_bytes("POST", path, {AUTH_HEADER: proof}, body)
        refused(exchange(agent, sent)[0], ErrorKind.STRANGER)


def hop(**fields) -> dict:
    """Return a hop of a stream that nobody opened."""
    return {
        "stream": "unknown",
        "attempt": 1,
        "layers": {"first": 0, "end": 1},
        "position": 0,
        "values": [1],
        "prompt_length": 1,
        **fields,
    }


def incarnation_of(deployment, process) -> str:
    answer = wire(deployment, process, paths.STATUS, {})
    return answer.document["incarnation"]


def test_hop_of_an_unknown_stream_has_no_effect(deployment):
    agent = deployment.endpoints[0].agent
    incarnation = incarnation_of(deployment, agent)
    batch = {"sender": "x", "receiver_incarnation": incarnation, "hops": [hop()]}
    answer = wire(deployment, agent, paths.HOPS, batch)
    assert answer.document["verdicts"] == ["unknown_stream"]


@pytest.mark.parametrize(
    "fields",
    [
        {"position": -1},
        {"attempt": 0},
        {"values": []},
        {"layers": {"first": 3, "end": 1}},
        {"layers": {"first": -1, "end": 1}},
        {"position": "x"},
        {"extra": 1},
    ],
)
def test_bad_hop_is_refused(deployment, fields):
    agent = deployment.endpoints[0].agent
    batch = {"sender": "x", "receiver_incarnation": "x", "hops": [hop(**fields)]}
    answer = wire(deployment, agent, paths.HOPS, batch)
    refused(answer, ErrorKind.INVALID_FIELD)


@pytest.mark.parametrize("fields", [{"index": 1}, {"index": -1}, {"stages": []}])
def test_bad_opening_message_is_refused(deployment, fields):
    agent = deployment.endpoints[0].agent
    stage = {
        "endpoint": "x",
        "incarnation": incarnation_of(deployment, agent),
        "agent_url": "http://127.0.0.1:1",
        "layers": {"first": 0, "end": 1},
    }
    message = {
        "stream": "unknown",
        "attempt": 1,
        "index": 0,
        "stages": [stage],
        "entry_url": "http://127.0.0.1:1",
        "organisation": "x",
        "work_class": "",
        "priority": 0.0,
        "sampling": {"temperature": 0.0, "seed": 0, "max_tokens": 1},
        "token_limit": 1,
    }
    answer = wire(deployment, agent, paths.OPEN_STAGE, {**message, **fields})
    refused(answer, ErrorKind.INVALID_FIELD)


def test_message_for_another_kind_of_endpoint_is_refused(deployment):
    agent, service = deployment.endpoints[0].agent, deployment.service.agent
    refused(wire(deployment, agent, paths.CALL, {}), ErrorKind.UNKNOWN_RESOURCE)
    for path in (paths.OPEN_STAGE, paths.HOPS, paths.REVOKE, paths.CREDIT):
        answer = wire(deployment, service, path, {})
        refused(answer, ErrorKind.UNKNOWN_RESOURCE)


def test_tokens_of_an_unknown_stream_end_its_attempt(deployment):
    token = {"stream": "unknown", "attempt": 1, "index": 0, "token": 1}
    token |= {"text": "x", "prompt_length": 1}
    batch = {"sender": "x", "incarnation": "x", "tokens": [token]}
    answer = wire(deployment, deployment.entries[0], paths.TOKENS, batch)
    (credit,) = answer.document["credits"]
    assert (credit["stream"], credit["token_limit"]) == ("unknown", 0)


@pytest.fixture
def client(deployment):
    """A stock client."""
    url = deployment.entries[0].url + "/v1"
    return openai.OpenAI(base_url=url, api_key=deployment.keys["regie"], max_retries=0)


def test_stock_client_raises_the_class_of_each_refusal(deployment, client):
    with pytest.raises(openai.NotFoundError) as raised:
        client.completions.create(model="none", prompt="a")
    assert raised.value.code == "unknown_model"
    assert raised.value.param == "model"
    with pytest.raises(openai.UnprocessableEntityError) as raised:
        client.completions.create(model=MODEL, prompt="a", n=3)
    assert raised.value.param == "n"
    with pytest.raises(openai.AuthenticationError):
        client.with_options(api_key="wrong").models.list()


def test_stock_client_may_send_all_that_asks_for_nothing(client):
    answer = client.chat.completions.create(
        model=MODEL,
        messages=[
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "name the rooms"}]},
        ],
        max_completion_tokens=3,
        n=1,
        top_p=1.0,
        temperature=None,
        seed=None,
        stop=None,
        logprobs=None,
        presence_penalty=0,
        frequency_penalty=0.0,
        response_format={"type": "text"},
        tools=[],
        tool_choice="none",
        user="agent-7",
        metadata={"shop": "portmore"},
        service_tier="auto",
        store=False,
        stream=False,
        stream_options=None,
    )
    assert len(answer.choices[0].message.content.split()) == 3
    assert answer.choices[0].message.role == "assistant"
