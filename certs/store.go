// Package certs authenticates the processes and operators of the system. Processes use
// mutual TLS, with the availability zone as the identity and files that are reloaded when
// they change. Admin calls that change something need a bearer token.
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

// reloadInterval is the interval at which the files are checked for changes.
const reloadInterval = 10 * time.Second

// Store holds the TLS credentials of one process and reloads them when their files
// change. It is safe for concurrent use.
type Store struct {
	files          Files
	zone           track.AvailabilityZone
	clock          clockwork.Clock
	logger         *zap.Logger
	reloadFailures *metrics.Counter

	current atomic.Pointer[credentials]
	// lastContents holds the contents of the files from which the current credentials
	// were parsed. Only Run uses it once New has returned.
	lastContents fileContents
}

// New loads the credentials from the files. It returns an Error if a file cannot be read,
// or if the key and certificates are invalid, don't belong together, or aren't issued for
// the zone.
func New(
	files Files, zone track.AvailabilityZone, clock clockwork.Clock, logger *zap.Logger, m *metrics.Set,
) (*Store, error) {
	contents, err := files.read()
	if err != nil {
		return nil, err
	}
	creds, err := files.parse(contents, zone, clock.Now())
	if err != nil {
		return nil, err
	}
	s := &Store{
		files: files, zone: zone, clock: clock, logger: logger, lastContents: contents,
		reloadFailures: m.NewCounter("filberttrack_tls_reload_failures_total"),
	}
	s.current.Store(creds)
	m.NewGauge("filberttrack_tls_certificate_expiry_seconds", s.secondsUntilExpiry)
	return s, nil
}

// secondsUntilExpiry returns the seconds until the certificate in use expires.
func (s *Store) secondsUntilExpiry() float64 {
	return s.current.Load().certificate.Leaf.NotAfter.Sub(s.clock.Now()).Seconds()
}

// Run reloads the files when they have changed, until the context ends. If the new files
// cannot be used, it logs and counts the failure and keeps the previous credentials.
func (s *Store) Run(ctx context.Context) error {
	return duty.Every(ctx, s.clock, reloadInterval, s.reload)
}

func (s *Store) reload() {
	contents, err := s.files.read()
	if err == nil && contents.equal(s.lastContents) {
		return
	}
	var creds *credentials
	if err == nil {
		creds, err = s.files.parse(contents, s.zone, s.clock.Now())
	}
	if err != nil {
		s.reloadFailures.Inc()
		s.logger.Error("cannot reload certificates; the previous ones stay in use", zap.Error(err))
		return
	}
	s.lastContents = contents
	s.current.Store(creds)
	s.logger.Info("certificates reloaded", zap.Time("expires", creds.certificate.Leaf.NotAfter))
}

// ServerConfig returns the TLS configuration of a listener. Clients must present a
// certificate that is issued for a zone, whichever it is.
func (s *Store) ServerConfig() *tls.Config {
	config := s.baseConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.SessionTicketsDisabled = true
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	config.VerifyConnection = s.verifyPeer("", x509.ExtKeyUsageClientAuth)
	return config
}

// ClientConfig returns the TLS configuration for connections to instances of a zone. The
// server must present a certificate that is issued for that zone; its host name is not
// checked.
func (s *Store) ClientConfig(zone track.AvailabilityZone) *tls.Config {
	config := s.baseConfig()
	// The certificate names the zone instead of a host. VerifyConnection checks the chain
	// and the zone.
	config.InsecureSkipVerify = true
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &s.current.Load().certificate, nil
	}
	config.VerifyConnection = s.verifyPeer(zone, x509.ExtKeyUsageServerAuth)
	return config
}

// baseConfig returns what server and client configurations have in common.
func (s *Store) baseConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Time: s.clock.Now}
}

// verifyPeer returns a tls.Config.VerifyConnection function that verifies the peer's
// certificate against the current credentials.
func (s *Store) verifyPeer(zone track.AvailabilityZone, usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		return s.current.Load().verify(state.PeerCertificates, zone, usage, s.clock.Now())
	}
}

// CheckZone checks that the certificate of a verified connection's peer is issued for the
// zone. If not, it returns an Error of kind WrongZone, or Untrusted without a
// certificate.
func CheckZone(state tls.ConnectionState, zone track.AvailabilityZone) error {
	if len(state.PeerCertificates) == 0 {
		return track.Fail("check zone of peer", Untrusted, nil)
	}
	return checkZone(state.PeerCertificates[0], zone)
}
