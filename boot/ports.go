package boot

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/heads"
	"filberttrack.example/track/wire"
)

// Platform holds the clients of the platform's services.
type Platform struct {
	// Log is the durable log that entries share; agents don't use it.
	Log track.Log
	// List is the list of all instances.
	List track.InstanceList
}

// Dependencies holds everything outside the process that the components of an entry or
// agent use, so that a test can run the same components on a fake clock and without a
// network.
type Dependencies struct {
	Platform Platform
	// AgentDialer connects to agents.
	AgentDialer track.AgentDialer
	// PeerDialer connects to the instances with which heartbeats are exchanged.
	PeerDialer track.PeerDialer
	// Address is the host and port on which other instances reach this one.
	Address string
	// RankClients returns the clients of the ranks behind an agent; nil if the process
	// controls no rank group.
	RankClients NewRankClients
	// DialRankGateway connects to the gateway of the ranks behind another agent.
	DialRankGateway func(track.Instance) (track.RankGateway, error)
	// BackendClient calls the backend server of an agent.
	BackendClient *http.Client
	// Metrics is the set to which the instance's metrics are added.
	Metrics *metrics.Set
	Clock   clockwork.Clock
	Logger  *zap.Logger
	// OperatorAuth wraps the handlers of changes and admits only authorized operators;
	// if it is nil, nobody is admitted.
	OperatorAuth func(http.Handler) http.Handler
	// NewID returns a request ID that is unique among all instances.
	NewID func() track.RequestID
}

// newDependencies returns the dependencies of a process that uses the real clock and
// network, and its dialer, which the process must close.
func newDependencies(
	platform Platform, security *processSecurity, address string, logger *zap.Logger,
) (Dependencies, *wire.Dialer) {
	dialer := wire.NewDialer(security.dialCredentials)
	return Dependencies{
		Platform:      platform,
		AgentDialer:   dialer,
		PeerDialer:    dialer,
		Address:       address,
		OperatorAuth:  security.operatorToken.RequireToken,
		Metrics:       security.metrics,
		RankClients:   newHTTPRankClients,
		BackendClient: newBackendClient(),
		Clock:         clockwork.NewRealClock(),
		Logger:        logger,
		NewID:         newRequestID,
	}, dialer
}

// maxBackendHeaderBytes limits the header of a response of the backend server.
const maxBackendHeaderBytes = 64 << 10

// newBackendClient returns the HTTP client with which an agent calls its backend
// server. Each request has a connection of its own, which on the same machine costs little: a
// server that sends an answer a second time, late, could otherwise answer the next request with it.
func newBackendClient() *http.Client {
	return &http.Client{
		Transport: heads.New(&http.Transport{
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxBackendHeaderBytes,
		}),
		// Following a redirect would run the request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// requestIDBytes is the length of a request ID in bytes before its hex encoding.
const requestIDBytes = 16

func newRequestID() track.RequestID {
	id := make([]byte, requestIDBytes)
	// Read never returns an error; the runtime crashes the process instead.
	_, _ = rand.Read(id)
	return track.RequestID(hex.EncodeToString(id))
}
