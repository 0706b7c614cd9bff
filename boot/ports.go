package boot

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/wire"
)

// Platform holds the ports to the platform's services.
type Platform struct {
	Log  track.Log
	List track.InstanceList
}

// Ports holds everything outside a process that its parts use, so that a test
// can run the same parts on a fake clock and without a network.
type Ports struct {
	Platform Platform
	// Dialer opens ports to agents.
	Dialer track.AgentDialer
	// Peers opens ports by which instances tell each other about themselves.
	Peers track.PeerDialer
	// Address is where other instances reach this one.
	Address string
	// Ranks opens the ports to the ranks behind an agent; nil if the process
	// does not steer a rank group.
	Ranks RankPorts
	// DialDoor opens the port to the ranks behind another agent.
	DialDoor func(track.Instance) (track.RankGateway, error)
	// Client reaches the backend server of an agent.
	Client *http.Client
	// Metrics is the set to add the instance's metrics to.
	Metrics *metrics.Set
	Clock   clockwork.Clock
	Logger  *zap.Logger
	// Guard lets only those operators through that may change something; nil
	// lets nobody through.
	Guard func(http.Handler) http.Handler
	// NewID returns a request ID that no other instance returns.
	NewID func() track.RequestID
}

// realPorts returns the ports of a process that runs by itself, and its dialer.
func realPorts(platform Platform, t *trust, address string, logger *zap.Logger) (Ports, *wire.Dialer) {
	dialer := wire.NewDialer(t.dial)
	return Ports{
		Platform: platform,
		Dialer:   dialer,
		Peers:    dialer,
		Address:  address,
		Guard:    t.token.RequireToken,
		Metrics:  t.metrics,
		Ranks:    httpRanks,
		Client:   backendClient(),
		Clock:    clockwork.NewRealClock(),
		Logger:   logger,
		NewID:    newRequestID,
	}, dialer
}

// maxBackendConns bounds the idle connections kept to the backend server.
const maxBackendConns = 256

// backendClient returns the client with which an agent reaches its backend
// server.
func backendClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConns:        maxBackendConns,
			MaxIdleConnsPerHost: maxBackendConns,
			DisableCompression:  true,
		},
		// A redirect would run a request a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// requestIDBytes is the length of a request ID before encoding.
const requestIDBytes = 16

func newRequestID() track.RequestID {
	id := make([]byte, requestIDBytes)
	// Read never fails; the runtime ends the process instead.
	_, _ = rand.Read(id)
	return track.RequestID(hex.EncodeToString(id))
}
