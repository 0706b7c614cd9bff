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

// Files holds the paths of the PEM files for mutual TLS.
type Files struct {
	// Certificate is the file with the certificate, followed by any intermediate
	// certificates.
	Certificate string
	// Key is the file with the private key.
	Key string
	// Authority is the file with the CA certificates that verify the certificates of
	// peers.
	Authority string
}

// fileContents holds the contents of Files. It formats as "redacted", so that the key is
// never logged.
type fileContents struct {
	certificate, key, authority []byte
}

// String implements fmt.Stringer. It keeps the key out of logs.
func (fileContents) String() string { return "redacted" }

// GoString implements fmt.GoStringer. It keeps the key out of logs.
func (fileContents) GoString() string { return "redacted" }

func (c fileContents) equal(other fileContents) bool {
	return bytes.Equal(c.certificate, other.certificate) && bytes.Equal(c.key, other.key) &&
		bytes.Equal(c.authority, other.authority)
}

func (f Files) read() (fileContents, error) {
	var c fileContents
	for _, file := range []struct {
		name string
		data *[]byte
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		data, err := os.ReadFile(file.name)
		if err != nil {
			return fileContents{}, track.Fail("read "+file.name, BadFile, err)
		}
		*file.data = data
	}
	return c, nil
}

// credentials holds the parsed certificate with its key, and the CA certificates that
// verify peers.
type credentials struct {
	certificate  tls.Certificate
	trustedRoots *x509.CertPool
}

// parse parses the contents of the files. It fails unless the key belongs to the
// certificate, and the certificate is signed by the authority, valid now and issued for
// the zone.
func (f Files) parse(c fileContents, zone track.AvailabilityZone, now time.Time) (*credentials, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, track.Fail(fmt.Sprintf("load key pair from %s and %s", f.Certificate, f.Key), BadFile, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(c.authority) {
		return nil, track.Fail("load CA certificates from "+f.Authority, BadFile, errors.New("the file contains no certificate"))
	}
	creds := &credentials{certificate: certificate, trustedRoots: roots}
	if err := creds.verify(certificateChain(certificate), zone, x509.ExtKeyUsageAny, now); err != nil {
		return nil, fmt.Errorf("load certificate from %s: %w", f.Certificate, err)
	}
	return creds, nil
}

// certificateChain returns the certificate and its intermediates. It leaves out
// intermediates that cannot be parsed.
func certificateChain(cert tls.Certificate) []*x509.Certificate {
	chain := []*x509.Certificate{cert.Leaf}
	for _, der := range cert.Certificate[1:] {
		if parsed, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, parsed)
		}
	}
	return chain
}

// verify verifies a certificate chain, and that its certificate is issued for the zone,
// or for any zone if zone is empty.
func (creds *credentials) verify(
	chain []*x509.Certificate, zone track.AvailabilityZone, usage x509.ExtKeyUsage, now time.Time,
) error {
	const op = "verify certificate"
	if len(chain) == 0 {
		return track.Fail(op, Untrusted, errors.New("no certificate was presented"))
	}
	options := x509.VerifyOptions{
		Roots: creds.trustedRoots, Intermediates: x509.NewCertPool(), CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	}
	for _, c := range chain[1:] {
		options.Intermediates.AddCert(c)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return track.Fail(op, kindOfVerifyError(err), err)
	}
	return checkZone(chain[0], zone)
}

// kindOfVerifyError tells certificates that are not valid at this time from untrusted
// ones.
func kindOfVerifyError(err error) Kind {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return Expired
	}
	return Untrusted
}

// zoneScheme and zoneHost are the scheme and host of the URI that names the zone in a
// certificate.
const (
	zoneScheme = "filberttrack"
	zoneHost   = "zone"
)

// ZoneURI returns the URI that the subject alternative names of a certificate for the
// zone contain: filberttrack://zone/ZONE.
func ZoneURI(zone track.AvailabilityZone) *url.URL {
	return &url.URL{Scheme: zoneScheme, Host: zoneHost, Path: "/" + string(zone)}
}

// checkZone checks that a certificate is issued for the zone, or for any zone if zone is
// empty.
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
		fmt.Errorf("expected %s, certificate has %q", ZoneURI(zone), found))
}
