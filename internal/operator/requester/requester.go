// Package requester sends operators' requests to a node.
package requester

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
	"unicode"

	"damaskpick.example/damaskpick/internal/operator/presenter"
	"damaskpick.example/damaskpick/internal/telemetry/reporter"
)

// maxResponseBytes bounds the body of a response. The status of 330 nodes, 660 endpoints and 5,700 members is 0.7 MB.
const maxResponseBytes = 16 << 20

// Options configure a Requester. URL is required.
type Options struct {
	// URL is the base URL of the node's caller or peer address.
	URL string
	// Credential is sent as a bearer token unless it is empty.
	Credential string
	// CAFile, CertFile and KeyFile are the names of PEM files for TLS. Without a CAFile, the system's CAs are trusted; without CertFile
	// and KeyFile, no client certificate is sent.
	CAFile   string
	CertFile string
	KeyFile  string
	// Timeout bounds the time of one request, including the response body. Zero means no limit.
	Timeout time.Duration
}

// Requester sends requests to one node. It is safe for concurrent use.
type Requester struct {
	base       *url.URL
	credential string
	client     *http.Client
}

// New returns a Requester, or an error if the URL is invalid or a TLS file cannot be loaded.
func New(options Options) (*Requester, error) {
	base, err := url.Parse(options.URL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, fmt.Errorf("%q is not an http or https URL of a node", options.URL)
	}
	config, err := tlsConfig(options)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
	client := &http.Client{Transport: transport, Timeout: options.Timeout, CheckRedirect: refuseRedirect}
	return &Requester{base: base, credential: options.Credential, client: client}, nil
}

// refuseRedirect prevents redirects, which could send the credential to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func tlsConfig(options Options) (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if options.CAFile != "" {
		pem, err := os.ReadFile(options.CAFile)
		if err != nil {
			return nil, fmt.Errorf("read CA file: %w", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("CA file %s contains no certificate", options.CAFile)
		}
	}
	if options.CertFile != "" || options.KeyFile != "" {
		pair, err := tls.LoadX509KeyPair(options.CertFile, options.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("load client certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// StatusError is a response with an unexpected HTTP status.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("the node answered %d %s: %s", e.Status, http.StatusText(e.Status), e.Message)
}

// NeverSent reports whether err proves that no byte of the request reached a node, because the connection could not be established.
func NeverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Get sends a GET request and returns the response body. For any status other than 200, it returns the body and a StatusError.
func (r *Requester) Get(ctx context.Context, path string, query url.Values) ([]byte, error) {
	status, body, err := r.do(ctx, http.MethodGet, path, query, nil)
	if err == nil && status != http.StatusOK {
		err = StatusError{Status: status, Message: message(body)}
	}
	return body, err
}

// Status returns the status of the node.
func (r *Requester) Status(ctx context.Context) (status presenter.Status, err error) {
	return status, r.getJSON(ctx, "/status", &status)
}

// Rules returns the rule file in effect on the node.
func (r *Requester) Rules(ctx context.Context) (rules presenter.Rules, err error) {
	return rules, r.getJSON(ctx, "/rules", &rules)
}

// Reports returns the merged service-level reports of the node and of the nodes with the base URLs others. The error names the nodes
// whose report could not be fetched; the report covers the remaining ones.
func (r *Requester) Reports(ctx context.Context, others ...string) (reporter.Report, error) {
	return reporter.Fetch(ctx, r.client, append([]string{r.base.String()}, others...), r.credential)
}

// Publish sends a draft. After an error, the draft may nevertheless have been published, unless NeverSent returns true for the error or
// it is a StatusError below 500.
func (r *Requester) Publish(ctx context.Context, draft presenter.Draft) (publication presenter.Publication, err error) {
	body, err := json.Marshal(draft)
	if err != nil {
		return publication, err
	}
	status, responseBody, err := r.do(ctx, http.MethodPost, "/rules", nil, body)
	if err != nil {
		return publication, err
	}
	if json.Unmarshal(responseBody, &publication) != nil || publication.Outcome == "" {
		return publication, StatusError{Status: status, Message: message(responseBody)}
	}
	return publication, nil
}

func (r *Requester) getJSON(ctx context.Context, path string, target any) error {
	body, err := r.Get(ctx, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("decode response to %s, which may come from another version of the node: %w", path, err)
	}
	return nil
}

func (r *Requester) do(ctx context.Context, method, path string, query url.Values, body []byte) (int, []byte, error) {
	target := r.base.JoinPath(path)
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if r.credential != "" {
		request.Header.Set("Authorization", "Bearer "+r.credential)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(responseBody) > maxResponseBytes {
		err = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return response.StatusCode, responseBody, err
}

// message returns the code and message of a refusal, or the first 300 bytes of any other body with spaces for control
// characters.
func message(body []byte) string {
	var refusal presenter.Refusal
	if json.Unmarshal(body, &refusal) == nil && refusal.Error.Message != "" {
		return strings.TrimSpace(refusal.Error.Code + " " + refusal.Error.Message)
	}
	text := strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return ' '
		}
		return c
	}, string(body[:min(len(body), 300)]))
	return strings.TrimSpace(text)
}
