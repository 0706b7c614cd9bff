package desk_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"filberttrack.example/track/stand/desk"
)

// call sends a request and returns the status and the body of the response.
func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

func TestRequests(t *testing.T) {
	d := desk.New(clockwork.NewRealClock(), desk.Settings{PartsOrders: true, MaxBodyBytes: 100})
	server := httptest.NewServer(d)
	defer server.Close()
	tests := []struct {
		method, path, body string
		status             int
		response           string
	}{
		{"GET", "/bookings", "", 200, `[]`},
		{"POST", "/bookings", `{"Mill":"a"}`, 201, `{"BookingID":"booking-1"}`},
		{"POST", "/bookings", `{"Mill":"a"}`, 201, `{"BookingID":"booking-2"}`},
		{"GET", "/bookings/booking-2", "", 200, `{"Body":{"Mill":"a"},"BookingID":"booking-2"}`},
		{"GET", "/bookings", "", 200, `[{"Body":{"Mill":"a"},"BookingID":"booking-1"},{"Body":{"Mill":"a"},"BookingID":"booking-2"}]`},
		{"POST", "/parts-orders", `["spring"]`, 201, `{"PartsOrderID":"parts-order-1"}`},
		{"GET", "/bookings/booking-3", "", 404, `{"Error":"no booking \"booking-3\""}`},
		{"POST", "/bookings", `{"Mill`, 400, `{"Error":"body is not JSON"}`},
		{"POST", "/bookings", `"` + strings.Repeat("a", 100) + `"`, 413, `{"Error":"http: request body too large"}`},
		{"PUT", "/bookings", "", 405, "Method Not Allowed"},
		{"GET", "/other", "", 404, "404 page not found"},
	}
	for _, tt := range tests {
		status, response := call(t, tt.method, server.URL+tt.path, tt.body)
		assert.Equal(t, status, tt.status, "%s %s", tt.method, tt.path)
		assert.Equal(t, response, tt.response)
	}
	assert.Equal(t, len(d.Bookings()), 2)
	assert.Equal(t, len(d.PartsOrders()), 1)
}

func TestCrashLosesTheResponseButNotTheBooking(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := desk.New(clock, desk.Settings{Latency: time.Minute})
	server := httptest.NewServer(d)
	defer server.Close()
	done := make(chan error, 1)
	go func() {
		_, err := http.Post(server.URL+"/bookings", "application/json", strings.NewReader("{}"))
		done <- err
	}()
	assert.NilError(t, clock.BlockUntilContext(t.Context(), 1))
	d.Crash()
	assert.ErrorContains(t, <-done, "EOF")
	_, err := http.Get(server.URL + "/health")
	assert.ErrorContains(t, err, "EOF")
	d.Restart()
	d.SetLatency(0)
	_, response := call(t, "GET", server.URL+"/bookings", "")
	assert.Equal(t, response, `[{"Body":{},"BookingID":"booking-1"}]`)
}
