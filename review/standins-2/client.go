package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// newID returns the id of a client attempt.
func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// newRequest returns a proper request of a client that waits for the time deadline.
func newRequest(ctx context.Context, method, address, target, id string, deadline time.Duration, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, body)
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Key", credential)
	request.Header.Set("Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	return request, nil
}

// shortPrompt and longPrompt are the tokens of usual prompts of the shortest and of the longest kind.
const (
	shortPrompt = 5_000
	longPrompt  = 182_000
)

// stream sends a generation with a number of events and reads its answer to the end.
func stream(client *http.Client, n *node, id, prefix string, prompt, events int) (int, error) {
	const deadline = 10 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := newRequest(ctx, http.MethodPost, n.callers, fmt.Sprintf("%s1?events=%d", prefix, events), id, deadline, http.NoBody)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Model", "m")
	request.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", prompt, 34*events))
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:%d", id, prompt-40))
	return exchange(client, request)
}

// exchange sends a request and reads the answer to its end.
func exchange(client *http.Client, request *http.Request) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		_ = response.Body.Close()
		return response.StatusCode, err
	}
	return response.StatusCode, response.Body.Close()
}
