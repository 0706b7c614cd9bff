package certs_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/certs"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{}
	a.key = newKey(t)
	a.certificate = a.sign(t, a.key, &x509.Certificate{
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: start.AddDate(10, 0, 0),
	})
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func (a *authority) sign(t *testing.T, key *ecdsa.PrivateKey, template *x509.Certificate) *x509.Certificate {
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	template.NotBefore = start.Add(-time.Hour)
	parent := a.certificate
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return certificate
}

// issue writes the key and certificate files for a zone and returns their paths.
func (a *authority) issue(t *testing.T, dir string, zone track.AvailabilityZone, lifetime time.Duration) certs.Files {
	key := newKey(t)
	certificate := a.sign(t, key, &x509.Certificate{
		NotAfter: start.Add(lifetime), URIs: []*url.URL{certs.ZoneURI(zone)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	files := certs.Files{
		Certificate: filepath.Join(dir, "tls.crt"), Key: filepath.Join(dir, "tls.key"), Authority: filepath.Join(dir, "ca.crt"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, name, kind string, der []byte) {
	assert.NilError(t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newStore(files certs.Files, zone track.AvailabilityZone) (*certs.Store, error) {
	return certs.New(files, zone, clockwork.NewFakeClockAt(start), zap.NewNop(), metrics.NewSet())
}

func mustNewStore(t *testing.T, files certs.Files, zone track.AvailabilityZone) *certs.Store {
	t.Helper()
	s, err := newStore(files, zone)
	assert.NilError(t, err)
	return s
}

// handshake performs a TLS handshake and returns the server's certificate as the client
// received it, or the error of the client, or else that of the server.
func handshake(t *testing.T, client, server *tls.Config) (*x509.Certificate, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	serverResult := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = tls.Server(conn, server).Handshake()
			conn.Close()
		}
		serverResult <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	c := tls.Client(conn, client)
	err = c.Handshake()
	conn.Close()
	if serverErr := <-serverResult; err == nil && serverErr != nil {
		return nil, serverErr
	}
	if err != nil {
		return nil, err
	}
	return c.ConnectionState().PeerCertificates[0], nil
}

func TestHandshake(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	klA := mustNewStore(t, trusted.issue(t, t.TempDir(), "kl-a", time.Hour), "kl-a")
	klB := mustNewStore(t, trusted.issue(t, t.TempDir(), "kl-b", time.Hour), "kl-b")
	untrusted := mustNewStore(t, other.issue(t, t.TempDir(), "kl-a", time.Hour), "kl-a")
	tls12 := klA.ClientConfig("kl-b")
	tls12.MinVersion, tls12.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	noCertificate := klA.ClientConfig("kl-b")
	noCertificate.GetClientCertificate = nil

	_, err := handshake(t, klA.ClientConfig("kl-b"), klB.ServerConfig())
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		client *tls.Config
		kind   certs.Kind
	}{
		"server of another zone": {klA.ClientConfig("kl-c"), certs.WrongZone},
		"untrusted client":       {clientAcceptingAnyServer(untrusted), certs.Untrusted},
		"untrusted server":       {untrusted.ClientConfig("kl-b"), certs.Untrusted},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := handshake(t, c.client, klB.ServerConfig())
			assert.Assert(t, track.IsKind(err, c.kind), "%v", err)
		})
	}
	for name, client := range map[string]*tls.Config{"TLS 1.2": tls12, "no certificate": noCertificate} {
		t.Run(name, func(t *testing.T) {
			_, err := handshake(t, client, klB.ServerConfig())
			assert.Assert(t, err != nil)
		})
	}
}

// clientAcceptingAnyServer returns a client configuration that accepts any server, so
// that only the server's check can fail.
func clientAcceptingAnyServer(s *certs.Store) *tls.Config {
	config := s.ClientConfig("kl-b")
	config.VerifyConnection = nil
	return config
}

func TestNewRejectsInvalidFiles(t *testing.T) {
	a := newAuthority(t)
	const secret = "c2VjcmV0LWtleS1tYXRlcmlhbA"
	for name, c := range map[string]struct {
		breakFiles  func(certs.Files) error
		zone        track.AvailabilityZone
		kind        certs.Kind
		errContains string
	}{
		"missing":       {func(f certs.Files) error { return os.Remove(f.Key) }, "kl-a", certs.BadFile, "tls.key"},
		"bad key":       {func(f certs.Files) error { return os.WriteFile(f.Key, []byte(secret), 0o600) }, "kl-a", certs.BadFile, "tls.key"},
		"no authority":  {func(f certs.Files) error { return os.WriteFile(f.Authority, nil, 0o600) }, "kl-a", certs.BadFile, "ca.crt"},
		"another zone":  {func(certs.Files) error { return nil }, "kl-b", certs.WrongZone, "kl-b"},
		"zone's prefix": {func(certs.Files) error { return nil }, "kl", certs.WrongZone, "zone/kl,"},
	} {
		t.Run(name, func(t *testing.T) {
			files := a.issue(t, t.TempDir(), "kl-a", time.Hour)
			assert.NilError(t, c.breakFiles(files))
			_, err := newStore(files, c.zone)
			assert.Assert(t, track.IsKind(err, c.kind), "%v", err)
			assert.ErrorContains(t, err, c.errContains)
			assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", err), secret))
		})
	}
	t.Run("expired", func(t *testing.T) {
		_, err := newStore(a.issue(t, t.TempDir(), "kl-a", -time.Minute), "kl-a")
		assert.Assert(t, track.IsKind(err, certs.Expired), "%v", err)
		assert.ErrorContains(t, err, "tls.crt")
	})
	t.Run("key of another certificate", func(t *testing.T) {
		files := a.issue(t, t.TempDir(), "kl-a", time.Hour)
		files.Key = a.issue(t, t.TempDir(), "kl-a", time.Hour).Key
		_, err := newStore(files, "kl-a")
		assert.Assert(t, track.IsKind(err, certs.BadFile), "%v", err)
	})
}

func TestHandshakeFailsOnceCertificateExpires(t *testing.T) {
	a := newAuthority(t)
	clock := clockwork.NewFakeClockAt(start)
	store, err := certs.New(a.issue(t, t.TempDir(), "kl-a", time.Minute), "kl-a", clock, zap.NewNop(), metrics.NewSet())
	assert.NilError(t, err)
	_, err = handshake(t, store.ClientConfig("kl-a"), store.ServerConfig())
	assert.NilError(t, err)
	clock.Advance(2 * time.Minute)
	_, err = handshake(t, store.ClientConfig("kl-a"), store.ServerConfig())
	assert.Assert(t, track.IsKind(err, certs.Expired), "%v", err)
}

func TestReload(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	files := a.issue(t, dir, "kl-a", time.Hour)
	clock := clockwork.NewFakeClockAt(start)
	core, logs := observer.New(zapcore.InfoLevel)
	store, err := certs.New(files, "kl-a", clock, zap.New(core), metrics.NewSet())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- store.Run(ctx) }()
	serial := func() int64 {
		c, err := handshake(t, store.ClientConfig("kl-a"), store.ServerConfig())
		assert.NilError(t, err)
		return c.SerialNumber.Int64()
	}
	checkFiles := func() {
		before := logs.Len()
		assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		clock.Advance(10 * time.Second)
		for logs.Len() == before {
			assert.NilError(t, clock.BlockUntilContext(ctx, 1))
		}
	}
	first := serial()

	key, err := os.ReadFile(files.Key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Key, key[:len(key)/2], 0o600))
	checkFiles()
	assert.Equal(t, serial(), first)
	var logText bytes.Buffer
	for _, entry := range logs.All() {
		fmt.Fprintln(&logText, entry.Message, entry.ContextMap())
	}
	assert.Assert(t, strings.Contains(logText.String(), "tls.key"))
	assert.Assert(t, !strings.Contains(logText.String(), string(key[40:60])))

	a.issue(t, dir, "kl-b", time.Hour)
	checkFiles()
	assert.Equal(t, serial(), first)

	a.issue(t, dir, "kl-a", time.Hour)
	checkFiles()
	assert.Equal(t, serial(), a.serial)
	cancel()
	assert.Assert(t, errors.Is(<-done, context.Canceled))
}

func TestToken(t *testing.T) {
	const secret = "a-token-of-some-length"
	file := filepath.Join(t.TempDir(), "token")
	assert.NilError(t, os.WriteFile(file, []byte(secret+"\n"), 0o600))
	fromFile, err := certs.ReadToken(file)
	assert.NilError(t, err)
	digest := sha256.Sum256([]byte(secret))
	fromHash, err := certs.ParseTokenHash(hex.EncodeToString(digest[:]))
	assert.NilError(t, err)
	zeroHash := hex.EncodeToString(make([]byte, 32))
	zeroToken, err := certs.ParseTokenHash(zeroHash)
	assert.NilError(t, err)
	for _, c := range []struct {
		token  *certs.Token
		header string
		want   int
	}{
		{fromFile, "Bearer " + secret, 200},
		{fromHash, "Bearer " + secret, 200},
		{fromFile, secret, 401},
		{fromFile, "Bearer " + secret + "x", 401},
		{fromFile, "Bearer ", 401},
		{fromFile, "", 401},
		{zeroToken, "", 401},
		{certs.RefuseAll(), "Bearer " + secret, 401},
		{certs.RefuseAll(), "", 401},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("Authorization", c.header)
		w := httptest.NewRecorder()
		c.token.RequireToken(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})).ServeHTTP(w, r)
		assert.Equal(t, w.Code, c.want, "%q", c.header)
		assert.Assert(t, !strings.Contains(w.Body.String(), secret))
	}
	formatted := fmt.Sprintf("%v %+v %#v %s", fromFile, fromFile, fromFile, fromFile)
	assert.Equal(t, formatted, "redacted redacted redacted redacted")

	assert.NilError(t, os.WriteFile(file, []byte("short-secret"), 0o600))
	_, err = certs.ReadToken(file)
	assert.Assert(t, track.IsKind(err, certs.BadFile))
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", err), "short-secret"))
}
