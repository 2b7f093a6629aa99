package handler

import (
	"bufio"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/control/modeler"
	"damaskpick.example/damaskpick/internal/traffic/forwarder"
)

// post returns the raw text of a request with a member's credential.
func post(path, body string, headers ...string) string {
	headers = append(headers, "Authorization: Bearer "+memberToken, "Content-Length: "+strconv.Itoa(len(body)))
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

type rawResponse struct {
	status int
	header http.Header
	body   []byte
}

// send writes raw to the server and reads one response. If closeWrite is set, it closes the sending side after raw.
func send(t *testing.T, address, raw string, closeWrite bool) rawResponse {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, raw)
	assert.NilError(t, err)
	if closeWrite {
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return rawResponse{response.StatusCode, response.Header, body}
}

// TestBadInput guards against invalid input that gets no stable code, gets the wrong HTTP status, or is passed to the forwarder.
func TestBadInput(t *testing.T) {
	const completions, chat, service = "/v1/completions", "/v1/chat/completions", "/services/book/trucks"
	valid := `{"model":"m","prompt":"p"}`
	truncated := strings.Replace(post(completions, valid), "Content-Length: 2", "Content-Length: 9", 1)
	for _, c := range []struct {
		name string
		raw  string
		// closeWrite closes the sending side after raw.
		closeWrite bool
		err        error
		status     int
		code       modeler.Code
		// forwarded is set if the forwarder ran the request although err is nil.
		forwarded bool
	}{
		{name: "no credential", raw: "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n", status: 401, code: CodeUnauthorized},
		{name: "other scheme", raw: "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Basic " + memberToken + "\r\n\r\n", status: 401, code: CodeUnauthorized},
		{name: "wrong credential", raw: "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer guess\r\n\r\n", status: 401, code: CodeUnauthorized},
		{name: "member on an operator path", raw: "GET /metrics HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + memberToken + "\r\n\r\n", status: 403, code: CodeForbidden},
		{name: "operator on a member path", raw: "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + operatorToken + "\r\n\r\n", status: 403, code: CodeForbidden},
		{name: "unknown path", raw: post("/v2/x", ""), status: 404, code: CodeNotFound},
		{name: "wrong method", raw: post("/v1/models", ""), status: 405, code: CodeMethodNotAllowed},
		{name: "dot segments", raw: post("/services/book/check/%2e%2e/trucks", ""), status: 400, code: CodeInvalidRequest},
		{name: "encoded slash with dots", raw: post("/services/book/check%2F..%2Ftrucks", ""), status: 400, code: CodeInvalidRequest},
		{name: "empty segment", raw: post("/services/book//trucks", ""), status: 400, code: CodeInvalidRequest},
		{name: "not JSON", raw: post(completions, "prompt=p"), status: 400, code: CodeInvalidJSON},
		{name: "JSON with trailing data", raw: post(completions, valid+"x"), status: 400, code: CodeInvalidJSON},
		{name: "empty body", raw: post(completions, ""), status: 400, code: CodeInvalidJSON},
		{name: "wrong type", raw: post(completions, `{"model":5}`), status: 400, code: CodeInvalidRequest},
		{name: "no model", raw: post(completions, `{"prompt":"p"}`), status: 400, code: CodeInvalidRequest},
		{name: "empty prompt", raw: post(completions, `{"model":"m","prompt":""}`), status: 400, code: CodeInvalidRequest},
		{name: "two prompts", raw: post(completions, `{"model":"m","prompt":["p","q"]}`), status: 400, code: CodeUnsupported},
		{name: "no tokens", raw: post(completions, `{"model":"m","prompt":"p","max_tokens":0}`), status: 400, code: CodeInvalidRequest},
		{name: "too many tokens", raw: post(completions, `{"model":"m","prompt":"p","max_tokens":9000000000000000000}`), status: 400, code: CodeInvalidRequest},
		{name: "several choices", raw: post(completions, `{"model":"m","prompt":"p","n":2}`), status: 400, code: CodeUnsupported},
		{name: "stop sequence", raw: post(completions, `{"model":"m","prompt":"p","stop":["x"]}`), status: 400, code: CodeUnsupported},
		{name: "echo", raw: post(completions, `{"model":"m","prompt":"p","echo":true}`), status: 400, code: CodeUnsupported},
		{name: "no messages", raw: post(chat, `{"model":"m"}`), status: 400, code: CodeInvalidRequest},
		{name: "no role", raw: post(chat, `{"model":"m","messages":[{"content":"c"}]}`), status: 400, code: CodeInvalidRequest},
		{name: "image", raw: post(chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`), status: 400, code: CodeUnsupported},
		{name: "bad timeout", raw: post(completions, valid, "X-Request-Timeout: 1.5"), status: 400, code: CodeInvalidRequest},
		{name: "body too large", raw: post(completions, strings.Repeat(" ", 1001)), status: 413, code: CodeBodyTooLarge},
		{name: "chunked body too large", status: 413, code: CodeBodyTooLarge,
			raw: "POST " + completions + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + memberToken + "\r\nTransfer-Encoding: chunked\r\n\r\n" +
				fmt.Sprintf("%x\r\n%s\r\n", 1001, strings.Repeat(" ", 1001))},
		{name: "truncated body", raw: truncated, closeWrite: true, status: 400, code: CodeBodyTruncated},
		{name: "truncated body of a call", raw: strings.Replace(truncated, completions, service, 1), closeWrite: true, status: 400, code: CodeBodyTruncated},
		{name: "slow sender without a credential", raw: strings.Replace(truncated, memberToken, "guess", 1),
			status: 401, code: CodeUnauthorized},
		{name: "invalid status of a service", raw: post(service, "b"), status: 500, code: CodeInternal, forwarded: true},
		{name: "slow sender", raw: truncated, status: 408, code: CodeSlowSender},
		// The control loop decides the following refusals; this package determines their status and body.
		{name: "unknown model", raw: post(completions, valid), err: newRefusedError(modeler.CodeUnknownModel, 0, 0), status: 404, code: modeler.CodeUnknownModel},
		{name: "prompt exceeds every capacity", raw: post(chat, `{"model":"m","messages":[{"role":"user","content":"c"}]}`), err: newRefusedError(modeler.CodePromptTooLong, 0, 0), status: 413, code: modeler.CodePromptTooLong},
		{name: "share exhausted", raw: post(completions, valid), err: newRefusedError(modeler.CodeShareExhausted, 0, 1500*time.Millisecond), status: 429, code: modeler.CodeShareExhausted},
		{name: "reused key", raw: post(service, "b"), err: newRefusedError(modeler.CodeKeyReused, 0, 0), status: 422, code: modeler.CodeKeyReused},
		{name: "expired key", raw: post(service, "b"), err: newRefusedError(modeler.CodeKeyExpired, 0, 0), status: 400, code: modeler.CodeKeyExpired},
		{name: "unknown outcome", raw: post(service, "b"), err: newRefusedError(modeler.CodeOutcomeUnknown, modeler.Unknown, 0), status: 502, code: modeler.CodeOutcomeUnknown},
		{name: "internal error", raw: post(service, "b"), err: io.ErrNoProgress, status: 500, code: CodeInternal},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeForwarder{err: c.err}
			response := send(t, newServer(t, fake, nil).Listener.Addr().String(), c.raw, c.closeWrite)
			assert.Equal(t, response.status, c.status, "%s", response.body)
			var got errorBody
			assert.NilError(t, json.Unmarshal(response.body, &got))
			want := refusalOf(newRefusedError(c.code, 0, 0))
			if c.err != nil || c.forwarded {
				want = refusalOf(c.err)
			}
			assert.Equal(t, got.OpenAI.Code, c.code)
			assert.Equal(t, got.Error.Code, c.code)
			assert.Equal(t, got.Error.Run, want.Run.String())
			assert.Equal(t, got.Error.RetryAfter, want.RetryAfter.Seconds())
			assert.Equal(t, response.header.Get("Retry-After") != "", want.RetryAfter > 0)
			assert.Equal(t, len(response.header.Get("X-Request-Id")), 36)
			assert.Equal(t, fake.generation.Request == "" && fake.call.Request == "", c.err == nil && !c.forwarded)
		})
	}
}

// TestCallerStopsReading guards against a caller that keeps a stream open, and engine memory in use, by not reading from it.
func TestCallerStopsReading(t *testing.T) {
	fake := &fakeForwarder{chunks: []string{strings.Repeat("x", 100_000)}, endless: true, stopped: make(chan error, 1)}
	conn, err := net.Dial("tcp", newServer(t, fake, nil).Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, post("/v1/completions", `{"model":"m","prompt":"p","stream":true}`))
	assert.NilError(t, err)
	select {
	case err := <-fake.stopped:
		assert.ErrorContains(t, err, "timeout")
	case <-time.After(10 * time.Second):
		t.Fatal("the write deadline did not end the stream")
	}
}

// TestPauseBeforeAnswer guards against a read deadline that is still set after the body was read, and that ends requests whose response
// takes longer.
func TestPauseBeforeAnswer(t *testing.T) {
	for _, raw := range []string{
		post("/v1/completions", `{"model":"m","prompt":"p"}`),
		"GET /services/book/trucks HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + memberToken + "\r\n\r\n",
	} {
		fake := &fakeForwarder{
			chunks: []string{"answer"}, answer: forwarder.ServiceResponse{Status: 200, Body: []byte("answer")}, pause: 300 * time.Millisecond,
		}
		response := send(t, newServer(t, fake, nil).Listener.Addr().String(), raw, false)
		assert.Assert(t, strings.Contains(string(response.body), "answer"), "%q: %q", raw, response.body)
	}
}

// TestStatuses guards against a code of the control loop without an entry in forwarderStatuses, which would be returned as 500.
func TestStatuses(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../control/modeler/effect.go", nil, 0)
	assert.NilError(t, err)
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		code, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		assert.NilError(t, err)
		status, ok := forwarderStatuses[modeler.Code(code)]
		assert.Assert(t, ok && status >= 400, "%s: %d", code, status)
		found++
		return true
	})
	assert.Assert(t, found > 10, "%d codes", found)
}
