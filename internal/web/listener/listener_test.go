package listener

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// writeKeys writes a self-signed certificate, which is its own CA, with the given serial number.
func writeKeys(t *testing.T, folder string, serial int64, mutual bool) loader.KeyFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	files := loader.KeyFiles{CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	if mutual {
		files.CAFile = files.CertFile
	}
	assert.NilError(t, os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return files
}

func listen(t *testing.T, options Options) *Server {
	t.Helper()
	options.Address, options.Log = "127.0.0.1:0", zerolog.Nop()
	if options.Handler == nil {
		options.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	}
	server, cleanup, err := Listen(options)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	return server
}

// get sends one request over a new connection with the given keys. Their CA file must contain the CA of the server's certificate.
func get(t *testing.T, server *Server, files loader.KeyFiles) error {
	t.Helper()
	keys, err := NewKeys(files, zerolog.Nop())
	assert.NilError(t, err)
	transport := &http.Transport{DialTLSContext: keys.DialTLS, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+server.Address(), nil)
	assert.NilError(t, err)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	assert.Equal(t, response.Proto, "HTTP/1.1")
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.Body.Close()
}

// TestMutualTLS guards against a peer port that accepts client certificates of another CA.
func TestMutualTLS(t *testing.T) {
	own, foreign := writeKeys(t, t.TempDir(), 1, true), writeKeys(t, t.TempDir(), 2, true)
	server := listen(t, Options{Keys: own})
	for _, c := range []struct {
		name  string
		files loader.KeyFiles
		ok    bool
	}{
		{"peer", own, true},
		{"certificate of another CA", loader.KeyFiles{CertFile: foreign.CertFile, KeyFile: foreign.KeyFile, CAFile: own.CAFile}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := get(t, server, c.files)
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

// TestKeysReread guards against replaced keys that take effect only after a restart, and against a server that loses its keys while
// the files are replaced or damaged.
func TestKeysReread(t *testing.T) {
	folder := t.TempDir()
	files := writeKeys(t, folder, 1, false)
	keys, err := NewKeys(files, zerolog.Nop())
	assert.NilError(t, err)
	now := time.Now()
	keys.now = func() time.Time { return now }
	for _, c := range []struct {
		name   string
		change func()
		after  time.Duration
		serial int64
	}{
		{"unchanged", func() {}, 2 * checkInterval, 1},
		{"changed within the check interval", func() { writeKeys(t, folder, 20, false) }, 0, 1},
		{"changed", func() {}, checkInterval, 20},
		{"damaged", func() { assert.NilError(t, os.WriteFile(files.CertFile, []byte("x"), 0o600)) }, checkInterval, 20},
		{"missing", func() { assert.NilError(t, os.Remove(files.KeyFile)) }, checkInterval, 20},
		{"repaired", func() { writeKeys(t, folder, 300, false) }, checkInterval, 300},
	} {
		c.change()
		now = now.Add(c.after)
		certificate, err := x509.ParseCertificate(keys.serverConfig().Certificates[0].Certificate[0])
		assert.NilError(t, err)
		assert.Equal(t, certificate.SerialNumber.Int64(), c.serial, c.name)
	}
}

// TestLimits guards against callers that occupy connections or memory with an endless or slow header.
func TestLimits(t *testing.T) {
	server := listen(t, Options{HeaderBytes: 1000, HeaderTimeout: 50 * time.Millisecond})
	for _, c := range []struct{ name, raw, answer string }{
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 6000) + "\r\n\r\n", "HTTP/1.1 431 "},
		{"slow header", "GET / HTTP/1.1\r\nHost: h\r\n", ""},
		{"valid", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 200 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Address())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, c.raw)
			assert.NilError(t, err)
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), c.answer) && (c.answer != "" || len(answer) == 0), "%q", answer)
		})
	}
}

// TestStop guards against a graceful stop that interrupts streams, accepts new connections, or never ends.
func TestStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		ok      bool
	}{
		{"waits for the stream", 10 * time.Second, true},
		{"deadline exceeded", 20 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun, finish := make(chan struct{}), make(chan struct{})
			observed := newObservedListener()
			wrap := func(l net.Listener) net.Listener { observed.Listener = l; return observed }
			server := listen(t, Options{WrapListener: wrap, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				assert.NilError(t, http.NewResponseController(w).Flush())
				close(begun)
				<-finish
				_, _ = io.WriteString(w, "last token")
			})})
			response, err := http.Get("http://" + server.Address())
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			<-begun
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(ctx) }()
			if !c.ok {
				assert.ErrorIs(t, <-stopped, context.DeadlineExceeded)
				close(finish)
				return
			}
			<-observed.closed
			_, err = net.Dial("tcp", server.Address())
			assert.ErrorContains(t, err, "refused")
			close(finish)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "last token")
			assert.NilError(t, <-stopped)
		})
	}
}
