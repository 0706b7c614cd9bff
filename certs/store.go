// Package certs provides trust between the system's processes: mutual TLS from
// files that are read again when they change, with the availability zone as the
// identity, and the token of changing admin calls.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/duty"
)

// reloadInterval is the time between looks at the files.
const reloadInterval = 10 * time.Second

// Store holds the certificates of one process.
type Store struct {
	files  Files
	zone   track.AvailabilityZone
	clock  clockwork.Clock
	logger *zap.Logger
	failed *metrics.Counter

	current atomic.Pointer[set]
	// last is what the files held when they were last looked at. Only Run uses it.
	last contents
}

// New reads the files. It fails if they don't form a whole and valid set for the
// zone.
func New(
	files Files, zone track.AvailabilityZone, clock clockwork.Clock, logger *zap.Logger, m *metrics.Set,
) (*Store, error) {
	c, err := files.read()
	if err != nil {
		return nil, err
	}
	parsed, err := files.parse(c, zone, clock.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{
		files: files, zone: zone, clock: clock, logger: logger, last: c,
		failed: m.NewCounter("filberttrack_tls_reload_failures_total"),
	}
	s.current.Store(parsed)
	m.NewGauge("filberttrack_tls_certificate_expiry_seconds", s.expiry)
	return s, nil
}

// expiry returns the seconds until the certificate in use expires.
func (s *Store) expiry() float64 {
	return s.current.Load().certificate.Leaf.NotAfter.Sub(s.clock.Now()).Seconds()
}

// Run looks at the files again and again until the context ends. A set that is
// not whole and valid is logged and counted, and the former stays in use.
func (s *Store) Run(ctx context.Context) error {
	return duty.Every(ctx, s.clock, reloadInterval, s.reload)
}

func (s *Store) reload() {
	c, err := s.files.read()
	if err == nil && c.equal(s.last) {
		return
	}
	var parsed *set
	if err == nil {
		parsed, err = s.files.parse(c, s.zone, s.clock.Now())
	}
	if err != nil {
		s.failed.Inc()
		s.logger.Error("certificates not reloaded; the former stay in use", zap.Error(err))
		return
	}
	s.last = c
	s.current.Store(parsed)
	s.logger.Info("certificates reloaded", zap.Time("expires", parsed.certificate.Leaf.NotAfter))
}

// ServerConfig returns the settings of a listener. Clients must present a
// certificate for some zone.
func (s *Store) ServerConfig() *tls.Config {
	config := s.config()
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	config.VerifyConnection = s.verifier("", x509.ExtKeyUsageClientAuth)
	return config
}

// ClientConfig returns the settings for connections to instances of a zone. The
// server must present a certificate for that zone; its address is not checked.
func (s *Store) ClientConfig(zone track.AvailabilityZone) *tls.Config {
	config := s.config()
	// The name in the certificate is that of the zone, which VerifyConnection
	// checks along with the chain.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	config.VerifyConnection = s.verifier(zone, x509.ExtKeyUsageServerAuth)
	return config
}

func (s *Store) config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: s.clock.Now}
}

func (s *Store) verifier(zone track.AvailabilityZone, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		return s.current.Load().verify(state.PeerCertificates, zone, usage, s.clock.Now())
	}
}

// CheckZone checks that the peer of a verified connection speaks for the zone.
func CheckZone(state tls.ConnectionState, zone track.AvailabilityZone) error {
	if len(state.PeerCertificates) == 0 {
		return track.Fail("check zone of peer", Untrusted, nil)
	}
	return checkZone(state.PeerCertificates[0], zone)
}
