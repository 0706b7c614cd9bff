package plat_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/plat"
	"filberttrack.example/track/stand/memlog"
	"filberttrack.example/track/stand/roster"
)

func serve(t *testing.T, h http.Handler) (*http.Client, *url.URL) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	assert.NilError(t, err)
	return server.Client(), base
}

func TestLogOverHTTP(t *testing.T) {
	log := memlog.New(clockwork.NewFakeClock(), memlog.Settings{})
	client := plat.NewLog(serve(t, plat.NewLogHandler(log)))
	for want := range uint64(2) {
		offset, err := client.Append(t.Context(), "a stream/1", [][]byte{{0, 0xff, byte(want)}})
		assert.NilError(t, err)
		assert.Equal(t, offset, want)
	}
	page, err := client.Read(t.Context(), "a stream/1", 1, 10)
	assert.NilError(t, err)
	want, err := log.Read(t.Context(), "a stream/1", 1, 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, page, want)
	assert.DeepEqual(t, page.Records[0].Data, []byte{0, 0xff, 1})

	log.SetUnavailable(true)
	_, err = client.Append(t.Context(), "s", [][]byte{{1}})
	assert.Assert(t, track.IsKind(err, track.Unavailable))
	_, err = client.Read(t.Context(), "s", 0, 10)
	assert.Assert(t, track.IsKind(err, track.Unavailable))
	log.SetUnavailable(false)
	log.LoseResponses(1)
	_, err = client.Append(t.Context(), "s", [][]byte{{1}})
	assert.Assert(t, track.IsKind(err, track.Ambiguous))
	_, err = client.Read(t.Context(), "s", 0, 0)
	assert.Assert(t, track.IsKind(err, track.Invalid))
	_, err = client.Append(t.Context(), "s", nil)
	assert.Assert(t, track.IsKind(err, track.Invalid))
}

// A snapshot of a full-size configuration must fit into one record.
func TestLogCarriesFullSizeSnapshot(t *testing.T) {
	const snapshotBytes = 7_200_000
	log := memlog.New(clockwork.NewFakeClock(), memlog.Settings{})
	client := plat.NewLog(serve(t, plat.NewLogHandler(log)))
	_, err := client.Append(t.Context(), "s", [][]byte{make([]byte, snapshotBytes)})
	assert.NilError(t, err)
	page, err := client.Read(t.Context(), "s", 0, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records[0].Data), snapshotBytes)
	_, err = client.Append(t.Context(), "s", [][]byte{make([]byte, plat.MaxRecordBytes), {1}})
	assert.Assert(t, track.IsKind(err, track.Invalid))
}

// If no valid response arrives, the append is ambiguous unless the connection was refused.
func TestAppendErrorKindWithoutResponse(t *testing.T) {
	refusingListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, refusingListener.Close())
	_, aborting := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	_, statusOnly := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	_, truncated := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{"))
	}))
	_, oversize := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat(" ", plat.MaxResponseBytes+1)))
	}))
	tests := []struct {
		name string
		base *url.URL
		kind track.Kind
	}{
		{"ConnectionRefused", &url.URL{Scheme: "http", Host: refusingListener.Addr().String()}, track.Unavailable},
		{"ConnectionCut", aborting, track.Ambiguous},
		{"UnavailableByStatusAlone", statusOnly, track.Ambiguous},
		{"BrokenAnswer", truncated, track.Ambiguous},
		{"EndlessAnswer", oversize, track.Ambiguous},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := plat.NewLog(http.DefaultClient, tt.base).Append(t.Context(), "s", [][]byte{{1}})
			assert.Assert(t, track.IsKind(err, tt.kind), "%v", err)
		})
	}
}

func TestAppendCanceledAfterSendingIsAmbiguous(t *testing.T) {
	received := make(chan struct{})
	client, base := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects that the client disconnected only after reading the body.
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := plat.NewLog(client, base).Append(ctx, "s", nil)
	assert.Assert(t, track.IsKind(err, track.Invalid))
	_, err = plat.NewLog(client, base).Append(ctx, "s", [][]byte{{1}})
	assert.Assert(t, track.IsKind(err, track.Ambiguous), "%v", err)
	_, err = plat.NewLog(client, base).Append(ctx, "s", [][]byte{{1}})
	assert.Assert(t, track.IsKind(err, track.Unavailable), "%v", err)
}

func TestInstancesOverHTTP(t *testing.T) {
	instance := track.Instance{
		ID: "a", Role: track.RoleAgent, Region: "norte", Zone: "rivera", Address: "127.0.0.1:1",
		State: track.InstanceLive, Serves: "dispatch-llm", Ranks: 64,
	}
	list := roster.New(clockwork.NewFakeClock(), instance)
	httpClient, base := serve(t, plat.NewInstanceListHandler(list))
	client := plat.NewInstanceList(httpClient, base, zap.NewNop())
	got, err := client.Instances(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []track.Instance{instance})
	list.SetUnavailable(true)
	_, err = client.Instances(t.Context())
	assert.Assert(t, track.IsKind(err, track.Unavailable))
}

// Guards against a list that is no longer followed after one odd entry.
func TestOddEntriesOfTheInstanceListAreLeftOut(t *testing.T) {
	sound := `{"ID":"a","Role":"Entry","Zone":"rivera","Address":"10.0.0.1:1","State":"Live"}`
	odd := []string{
		`1`, `null`, `"a"`, `{}`, strings.Repeat(`{"ID":`, 1<<15) + "1" + strings.Repeat("}", 1<<15),
		`{"ID":"b,]}\\\"[{","Role":"Clown","State":"Live"}`, `{"ID":1,"Role":"Agent","State":"Live"}`, `{"ID":"b","Role":"Agent","State":"Live","Ranks":-1}`,
		`{"ID":"b","Role":"Agent","State":"Live","Ranks":9e18}`, `{"ID":"b","Role":"Agent","State":"Live","Ranks":9000000000000000000}`,
		`{"ID":"b","Role":"Agent","State":"Live","Ranks":1e300}`, `{"ID":"b","Role":"Clown","State":"Live"}`,
		`{"ID":"b","Role":"Agent","State":"Dancing"}`,
	}
	for _, address := range []string{"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999", "10.0.0.1:http", ":80", "1:1:1"} {
		odd = append(odd, fmt.Sprintf(`{"ID":"b","Role":"Agent","State":"Live","Address":%q}`, address))
	}
	body := ""
	client, base := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	list := plat.NewInstanceList(client, base, zap.NewNop())
	for _, entry := range odd {
		body = "[" + entry + "," + sound + "]"
		got, err := list.Instances(t.Context())
		assert.NilError(t, err, "%.80s", entry)
		assert.Equal(t, len(got), 1, "%.80s", entry)
		assert.Equal(t, got[0].ID, track.InstanceID("a"))
	}
}
