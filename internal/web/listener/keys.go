package listener

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"damaskpick.example/damaskpick/internal/settings/loader"
)

// checkInterval is the minimum time between two checks of the key files. For this long after a change, new connections may still get
// the previous keys.
const checkInterval = time.Second

// Keys holds a TLS certificate with its private key, and the CA certificates that verify the other side, and reloads their files after a
// change. It is safe for concurrent use.
type Keys struct {
	files loader.KeyFiles
	log   zerolog.Logger
	now   func() time.Time

	mu        sync.Mutex
	checkedAt time.Time
	stamp     fileStamp
	current   keySet
}

// keySet is the content of the key files at one time. It is immutable.
type keySet struct {
	certificate tls.Certificate
	// caPool is nil without a CA file.
	caPool *x509.CertPool
}

// fileStamp holds the modification time and size of the certificate, key and CA file, in this order. A different stamp means that a
// file changed.
type fileStamp [3]struct {
	modified time.Time
	size     int64
}

// NewKeys loads the key files.
func NewKeys(files loader.KeyFiles, log zerolog.Logger) (*Keys, error) {
	k := &Keys{files: files, log: log, now: time.Now}
	// The stamp is taken before the files are read, so that a change in between leads to another read.
	stamp, err := statKeyFiles(files)
	if err != nil {
		return nil, err
	}
	if k.current, err = loadKeys(files); err != nil {
		return nil, err
	}
	k.stamp, k.checkedAt = stamp, k.now()
	return k, nil
}

// ServerConfig returns a configuration that uses the current keys for each connection.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.serverConfig(), nil },
	}
}

func (k *Keys) serverConfig() *tls.Config {
	keys := k.refresh()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{keys.certificate},
		NextProtos:   []string{"http/1.1"},
	}
	if keys.caPool != nil {
		config.MinVersion = tls.VersionTLS13
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = keys.caPool
		// A session could otherwise be resumed after its CA was removed.
		config.SessionTicketsDisabled = true
	}
	return config
}

// DialTLS connects to a peer with the current keys. It has the signature of http.Transport.DialTLSContext.
func (k *Keys) DialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	keys := k.refresh()
	dialer := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{keys.certificate},
		RootCAs:      keys.caPool,
		NextProtos:   []string{"http/1.1"},
	}}
	return dialer.DialContext(ctx, network, address)
}

// refresh reloads the files if they changed and returns the current keys. If reloading fails, the previous keys stay in use.
func (k *Keys) refresh() keySet {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if now.Sub(k.checkedAt) < checkInterval {
		return k.current
	}
	k.checkedAt = now
	stamp, err := statKeyFiles(k.files)
	if err == nil && stamp == k.stamp {
		return k.current
	}
	var keys keySet
	if err == nil {
		keys, err = loadKeys(k.files)
	}
	if err != nil {
		k.log.Error().Err(err).Msg("TLS keys not reloaded, previous keys stay in use")
		return k.current
	}
	k.stamp, k.current = stamp, keys
	k.log.Info().Str("cert", k.files.CertFile).Msg("TLS keys reloaded")
	return k.current
}

func statKeyFiles(files loader.KeyFiles) (fileStamp, error) {
	var stamp fileStamp
	for i, name := range []string{files.CertFile, files.KeyFile, files.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamp, fmt.Errorf("TLS keys: %w", err)
		}
		stamp[i].modified, stamp[i].size = info.ModTime(), info.Size()
	}
	return stamp, nil
}

func loadKeys(files loader.KeyFiles) (keySet, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return keySet{}, fmt.Errorf("TLS keys: %w", err)
	}
	keys := keySet{certificate: certificate}
	if files.CAFile == "" {
		return keys, nil
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return keySet{}, fmt.Errorf("TLS keys: %w", err)
	}
	keys.caPool = x509.NewCertPool()
	if !keys.caPool.AppendCertsFromPEM(pem) {
		return keySet{}, errors.New("TLS keys: " + files.CAFile + " contains no certificate")
	}
	return keys, nil
}
