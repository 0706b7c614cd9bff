package boot_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"filberttrack.example/track"
	"filberttrack.example/track/boot"
	"filberttrack.example/track/certs"
	"filberttrack.example/track/conf"
	sample "filberttrack.example/track/examples"
	"filberttrack.example/track/stand/engine"
)

// waitFor waits until the condition holds, and fails if the test's context ends first.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		if t.Context().Err() != nil {
			t.FailNow()
		}
		runtime.Gosched()
	}
}

// routesTo reports whether the entry routes requests to the agent.
func routesTo(d *boot.Dev, id track.InstanceID) bool {
	for _, s := range d.Entry.Status().Servers {
		if s.Agent == id {
			return true
		}
	}
	return false
}

func TestLeavingAgentFinishesStreamsAndGetsNoNewOnes(t *testing.T) {
	d := startDev(t)
	stopAtCleanup(t, d)
	client := newClient(t, d)
	var engines []*engine.Engine
	for _, h := range d.Backends {
		if e, ok := h.(*engine.Engine); ok {
			e.Pause()
			engines = append(engines, e)
		}
	}
	var group errgroup.Group
	for i := range 24 {
		group.Go(func() error { return checkStream(client, fmt.Sprintf("open stream %d", i)) })
	}
	waitFor(t, func() bool { return openAttempts(d) == 24 })
	leaving := d.Agents[0]
	assert.Assert(t, leaving.Status().OpenRequests > 0)
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop(context.Background()) }()
	// The agent informs the entry at once, although its streams are still open.
	waitFor(t, func() bool { return !routesTo(d, leaving.Instance().ID) })
	open := leaving.Status().OpenRequests
	assert.Assert(t, open > 0)
	for i := range 24 {
		group.Go(func() error { return checkStream(client, fmt.Sprintf("late stream %d", i)) })
	}
	waitFor(t, func() bool { return openAttempts(d) == 48 })
	assert.Equal(t, leaving.Status().OpenRequests, open)
	for _, e := range engines {
		e.Resume()
	}
	assert.NilError(t, group.Wait())
	assert.NilError(t, <-stopped)
}

func TestStopReportsRequestsCutOff(t *testing.T) {
	d := startDev(t)
	for _, h := range d.Backends {
		if e, ok := h.(*engine.Engine); ok {
			e.Pause()
		}
	}
	client := newClient(t, d)
	var group errgroup.Group
	group.Go(func() error { return checkStream(client, "cut off") })
	waitFor(t, func() bool { return openAttempts(d) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorContains(t, d.Stop(ctx), "1 requests open")
	assert.Assert(t, group.Wait() != nil)
}

// Guards against requests that are cut off without an answer at the end of a planned stop.
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	d := startDev(t)
	for _, h := range d.Backends {
		if e, ok := h.(*engine.Engine); ok {
			e.Pause()
		}
	}
	type answer struct {
		status  int
		outcome string
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		body := strings.NewReader(`{"model":"dispatch-llm","messages":[{"role":"user","content":"x"}]}`)
		request, err := http.NewRequest(http.MethodPost, "http://"+d.Entry.Addr()+"/v1/chat/completions", body)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer response.Body.Close()
		answers <- answer{status: response.StatusCode, outcome: response.Header.Get("Filberttrack-Outcome")}
	}()
	waitFor(t, func() bool { return openAttempts(d) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorContains(t, d.Stop(ctx), "1 requests open")
	got := <-answers
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome, "Unknown")
}

func TestEntryKeepsReplicasWhenInstanceListIsEmpty(t *testing.T) {
	d := startDev(t)
	stopAtCleanup(t, d)
	waitFor(t, func() bool { return len(d.Entry.Status().Servers) == len(d.Agents) })
	for _, a := range d.Agents {
		d.List.Remove(a.Instance().ID)
	}
	waitFor(t, func() bool { return d.Entry.Status().ListAge >= 0 })
	assert.NilError(t, checkCompletion(newClient(t, d), "bales without a list"))
	assert.Equal(t, len(d.Entry.Status().Servers), len(d.Agents))
}

// issueCertificates writes a certificate for each zone, all issued by one authority,
// and returns the files of each zone.
func issueCertificates(t *testing.T, zones ...track.AvailabilityZone) map[track.AvailabilityZone]conf.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	sign := func(c *x509.Certificate) []byte {
		der, err := x509.CreateCertificate(rand.Reader, c, authority, &key.PublicKey, key)
		assert.NilError(t, err)
		return der
	}
	files := make(map[track.AvailabilityZone]conf.TLS)
	ca, private := write("ca.crt", "CERTIFICATE", sign(authority)), write("tls.key", "PRIVATE KEY", keyDER)
	for i, zone := range zones {
		leaf := sign(&x509.Certificate{
			SerialNumber: big.NewInt(int64(i + 2)), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
			URIs: []*url.URL{certs.ZoneURI(zone)},
		})
		files[zone] = conf.TLS{Certificate: write(string(zone)+".crt", "CERTIFICATE", leaf), Key: private, Authority: ca}
	}
	return files
}

func TestMutualTLSBetweenInstances(t *testing.T) {
	files := issueCertificates(t, "rivera", "artigas")
	s, err := conf.Parse("aserrin.toml", sample.Aserrin, conf.UseDev)
	assert.NilError(t, err)
	s.Entry.Listen, s.Entry.Admin, s.Entry.BalancerDelay = "127.0.0.1:0", "127.0.0.1:0", 0
	s.Zone = s.Zone[:1]
	assert.Equal(t, s.Zone[0].Name, track.AvailabilityZone("rivera"))

	s.TLS = files["artigas"]
	_, err = boot.StartDev(context.Background(), s, zap.NewNop())
	assert.Assert(t, track.IsKind(err, certs.WrongZone), "%v", err)

	s.TLS = files["rivera"]
	d, err := boot.StartDev(context.Background(), s, zap.NewNop())
	assert.NilError(t, err)
	stopAtCleanup(t, d)
	assert.NilError(t, checkStream(newClient(t, d), "sealed bales"))
	response, err := http.Get("http://" + d.Entry.AdminAddr() + "/metrics")
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(text), "filberttrack_tls_certificate_expiry_seconds"))
	assert.Assert(t, cmp.Contains(string(text), `filberttrack_member_peers{state="live"}`))

	// An entry without certificates can't reach any agent.
	s.TLS = conf.TLS{}
	s.Entry.ID, s.Entry.Zone = "entry-bare", "rivera"
	withoutTLS, err := boot.StartEntry(context.Background(), s, boot.Platform{Log: d.Log, List: d.List}, zap.NewNop())
	assert.NilError(t, err)
	assert.Equal(t, len(withoutTLS.Status().Servers), 0)
	assert.NilError(t, withoutTLS.Stop(context.Background()))
}
