package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"time"

	"filberttrack.example/track"
)

// Files names the files in PEM form that mutual TLS needs.
type Files struct {
	// Certificate holds the certificate and any intermediate ones.
	Certificate string
	// Key holds the private key.
	Key string
	// Authority holds the certificates that sign those of peers.
	Authority string
}

// contents is what the files hold. It has no way into logs.
type contents struct {
	certificate, key, authority []byte
}

// String keeps the key out of logs.
func (contents) String() string { return "redacted" }

// GoString keeps the key out of logs.
func (contents) GoString() string { return "redacted" }

func (c contents) equal(o contents) bool {
	return bytes.Equal(c.certificate, o.certificate) && bytes.Equal(c.key, o.key) &&
		bytes.Equal(c.authority, o.authority)
}

func (f Files) read() (contents, error) {
	var c contents
	for _, part := range []struct {
		name string
		into *[]byte
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		data, err := os.ReadFile(part.name)
		if err != nil {
			return contents{}, track.Fail("read "+part.name, BadFile, err)
		}
		*part.into = data
	}
	return c, nil
}

// set is a whole set of parsed files.
type set struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// parse checks the contents whole: the key belongs to the certificate, which
// the authority signed, is valid now, and speaks for the zone.
func (f Files) parse(c contents, zone track.AvailabilityZone, now time.Time) (*set, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, track.Fail(fmt.Sprintf("use %s with %s", f.Certificate, f.Key), BadFile, err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(c.authority) {
		return nil, track.Fail("use "+f.Authority, BadFile, errors.New("it holds no certificate"))
	}
	s := &set{certificate: certificate, authority: authority}
	if err := s.verify(chainOf(certificate), zone, x509.ExtKeyUsageAny, now); err != nil {
		return nil, fmt.Errorf("use %s: %w", f.Certificate, err)
	}
	return s, nil
}

func chainOf(c tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{c.Leaf}
	for _, der := range c.Certificate[1:] {
		if parsed, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, parsed)
		}
	}
	return chain
}

// verify checks a chain against the authority, and its zone unless zone is empty.
func (s *set) verify(
	chain []*x509.Certificate, zone track.AvailabilityZone, usage x509.ExtKeyUsage, now time.Time,
) error {
	const op = "verify certificate"
	if len(chain) == 0 {
		return track.Fail(op, Untrusted, errors.New("none was presented"))
	}
	options := x509.VerifyOptions{
		Roots: s.authority, Intermediates: x509.NewCertPool(), CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, c := range chain[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return track.Fail(op, kindOf(err), err)
	}
	return checkZone(chain[0], zone)
}

func kindOf(err error) Kind {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Expired
	}
	return Untrusted
}

// zoneScheme and zoneHost begin the URI that names a zone in a certificate.
const (
	zoneScheme = "filberttrack"
	zoneHost   = "zone"
)

// ZoneURI returns the URI by which a certificate speaks for a zone.
func ZoneURI(zone track.AvailabilityZone) *url.URL {
	return &url.URL{Scheme: zoneScheme, Host: zoneHost, Path: "/" + string(zone)}
}

// checkZone checks that a certificate speaks for the zone, or for any zone if
// none is given.
func checkZone(c *x509.Certificate, zone track.AvailabilityZone) error {
	var found []string
	for _, u := range c.URIs {
		if u.Scheme != zoneScheme || u.Host != zoneHost {
			continue
		}
		if zone == "" || u.Path == "/"+string(zone) {
			return nil
		}
		found = append(found, u.String())
	}
	return track.Fail("check zone of certificate", WrongZone,
		fmt.Errorf("want %s, the certificate has %q", ZoneURI(zone), found))
}
