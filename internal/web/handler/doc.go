// Package handler serves callers over HTTP. It parses requests and encodes responses; decisions are made by the forwarder and the
// control loop.
//
// Every path except /healthz and /readyz requires "Authorization: Bearer TOKEN". The token alone identifies the member; /metrics and
// /report require the token of an operator. Every response has the header X-Request-Id, whose value also appears in the log.
//
// # Paths
//
//   - POST /v1/completions and POST /v1/chat/completions use the published OpenAI formats and respond with one JSON object or, with
//     "stream": true, with server-sent events. The fields model, prompt or messages, max_tokens, max_completion_tokens, stream and
//     stream_options.include_usage have an effect. n and best_of other than 1, stop, echo, suffix, tools and content other than
//     text are refused as Unsupported, because ignoring them would silently change the completion. Other fields are ignored.
//     Without a maximum, a completion ends after DefaultMaxTokens.
//   - GET /v1/models lists the models of all engines known to this node, in the OpenAI format.
//   - /services/NAME/PATH passes any method, path, query, header and body to the service NAME, without the caller's credential. A
//     call requires an Idempotency-Key, a UUID of version 7, unless the rules allow it to be repeated. A repetition with the same key
//     and body gets the recorded response: status, content type and body up to forwarder.OutcomeBodyLimit bytes.
//   - GET /v1/addresses?DataCentre=NAME returns {"Addresses": [{"URL", "DataCentre"}], "ExpiresIn": SECONDS}: the active nodes, those of
//     the named data centre first and otherwise in random order. Callers request a new list before it expires.
//   - GET /healthz returns 200 while the process runs, GET /readyz while the node may start new work, and otherwise 503 with the reason.
//   - GET /metrics returns the Prometheus text format, GET /report the burn-rate report of package reporter as JSON.
//
// The request header X-Request-Timeout, in whole milliseconds, shortens the time limit of the request.
//
// # Prompts
//
// The platform defines a token as four bytes, rounded up. A conversation becomes one prompt: each message is "ROLE: TEXT" and a line
// feed, the text parts of one message are joined without a separator, and the prompt ends with "assistant:". Engines apply no chat
// template.
//
// # Refusals
//
// The code of a refusal determines its status (see forwarderStatuses and handlerStatuses). The body is
//
//	{"error": {"message", "type", "param", "code"}, "Error": {"Code", "Message", "Run", "RetryAfter"}}
//
// Run is "NotRun" only if no part of the request was sent to an endpoint, and otherwise "Unknown". RetryAfter is in seconds and is
// repeated in the header Retry-After, rounded up; zero means that a retry does not help, and the header X-Should-Retry is then false
// for OpenAI clients. A failure after the first event of a stream is sent as an event with the same object, and the stream then ends
// without "data: [DONE]".
package handler
