package boot

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"filberttrack.example/track"
	"filberttrack.example/track/certs"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
)

// trust holds what a process proves itself and checks others with.
type trust struct {
	// store is nil if the settings name no certificates.
	store   *certs.Store
	token   *certs.Token
	metrics *metrics.Set
}

// newTrust reads the files that the settings name.
func newTrust(s conf.Settings, zone track.AvailabilityZone, logger *zap.Logger) (*trust, error) {
	token, err := adminToken(s.Operators)
	if err != nil {
		return nil, err
	}
	t := &trust{token: token, metrics: metrics.NewSet()}
	if s.TLS == (conf.TLS{}) {
		return t, nil
	}
	t.store, err = certs.New(certs.Files(s.TLS), zone, clockwork.NewRealClock(), logger, t.metrics)
	return t, err
}

// dial returns the credentials for connections to a zone.
func (t *trust) dial(zone track.AvailabilityZone) credentials.TransportCredentials {
	if t.store == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(t.store.ClientConfig(zone))
}

// server returns the options of the listener for own processes.
func (t *trust) server() []grpc.ServerOption {
	if t.store == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(t.store.ServerConfig()))}
}

// start starts reading the files again when they change.
func (t *trust) start(ctx context.Context) []*duty.Duty {
	if t.store == nil {
		return nil
	}
	return []*duty.Duty{duty.Start(ctx, "reload certificates", t.store.Run)}
}

// identify checks that the caller's certificate speaks for the zone.
func (t *trust) identify(ctx context.Context, zone track.AvailabilityZone) error {
	if t.store == nil {
		return nil
	}
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return errors.New("caller unknown")
	}
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return errors.New("caller without TLS")
	}
	return certs.CheckZone(info.State, zone)
}
